#pragma once

#include "foxtailwheel/base/StrongId.h"

namespace foxtailwheel {

/// @brief Name of a service that a pool of backend servers provides.
using ServiceId = StrongId<struct ServiceTag>;
/// @brief Name of a pipeline that callers may request.
using PipelineId = StrongId<struct PipelineTag>;
/// @brief Name of one instance; a restarted or replaced instance can reuse it with a higher incarnation.
using InstanceId = StrongId<struct InstanceTag>;
/// @brief Name of one backend server, unique in the whole configuration.
using BackendServerId = StrongId<struct BackendServerTag>;
/// @brief Name of an availability zone.
using AvailabilityZoneId = StrongId<struct AvailabilityZoneTag>;
/// @brief Name of a client account.
using ClientAccountId = StrongId<struct ClientAccountTag>;
/// @brief The caller's `Idempotency-Key`.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
/// @brief Identifies one attempt to acquire a claim or to change the configuration; 128 random bits.
using AttemptToken = StrongId<struct AttemptTokenTag>;

/// @brief Number of a pipeline run, unique on its instance.
using RunId = StrongNumber<struct RunTag>;
/// @brief Number of an attempt of a stage within its run, starting at 1.
using AttemptNumber = StrongNumber<struct AttemptTag>;
/// @brief Version of the configuration, starting at 1; 0 means that there is none.
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
/// @brief Fencing token, which increases with every new holder of a lease.
using FencingToken = StrongNumber<struct FencingTag>;
/// @brief Incarnation number, which increases with every restart of an instance.
using Incarnation = StrongNumber<struct IncarnationTag>;

/// @brief Index of a stage in its plan, starting at 0.
using StageIndex = std::size_t;

} // namespace foxtailwheel
