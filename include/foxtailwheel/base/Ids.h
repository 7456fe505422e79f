#pragma once

#include "foxtailwheel/base/StrongId.h"

namespace foxtailwheel {

/// @brief Name of a service that backend servers offer.
using ServiceId = StrongId<struct ServiceTag>;
/// @brief Name of a pipeline that callers may request.
using PipelineId = StrongId<struct PipelineTag>;
/// @brief Name of one entry instance; a replaced instance may keep it with a higher incarnation.
using InstanceId = StrongId<struct InstanceTag>;
/// @brief Name of one backend server, unique in the whole configuration.
using BackendServerId = StrongId<struct BackendServerTag>;
/// @brief Name of an availability zone.
using AvailabilityZoneId = StrongId<struct AvailabilityZoneTag>;
/// @brief Name of a client account.
using ClientAccountId = StrongId<struct ClientAccountTag>;
/// @brief The caller's `Idempotency-Key`.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
/// @brief Identifies one attempt to hold a claim or change a configuration; unique by 128 random bits.
using AttemptToken = StrongId<struct AttemptTokenTag>;

/// @brief Number of one run of a pipeline on one instance.
using RunId = StrongNumber<struct RunTag>;
/// @brief Number of one attempt of a stage within its run, from 1.
using AttemptNumber = StrongNumber<struct AttemptTag>;
/// @brief Version of the configuration, from 1; 0 means none.
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
/// @brief Number that grows with every new holder of a lease.
using FencingNumber = StrongNumber<struct FencingTag>;
/// @brief Number that grows with every new life of an instance.
using Incarnation = StrongNumber<struct IncarnationTag>;

/// @brief Position of a stage in its plan, from 0.
using StageIndex = std::size_t;

} // namespace foxtailwheel
