# One static library for each package. A package sees only the packages that it is stacked on.
function(foxtailwheel_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/foxtailwheel/${name}/*.cpp)
  list(FILTER sources EXCLUDE REGEX "Test\\.cpp$")
  set(target foxtailwheel_${name})
  add_library(${target} STATIC ${sources})
  target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/include)
  target_include_directories(${target} SYSTEM PUBLIC ${Boost_INCLUDE_DIRS})
  foreach(it IN LISTS ARG_DEPENDS)
    target_link_libraries(${target} PUBLIC foxtailwheel_${it})
  endforeach()
  target_link_libraries(${target} PUBLIC ${ARG_LIBRARIES})
endfunction()

# Decision packages: no sockets, no threads, no sleep.
foxtailwheel_package(base LIBRARIES ${XXHASH_LIBRARY} OpenSSL::Crypto)
foxtailwheel_package(config DEPENDS base LIBRARIES yaml-cpp)
foxtailwheel_package(pipeline DEPENDS config)
foxtailwheel_package(limits DEPENDS base)
foxtailwheel_package(routing DEPENDS config)
foxtailwheel_package(scheduling DEPENDS base)
foxtailwheel_package(serving DEPENDS pipeline limits routing scheduling)
foxtailwheel_package(membership DEPENDS config)

# Input and output.
foxtailwheel_package(http DEPENDS config LIBRARIES Threads::Threads)
foxtailwheel_package(store DEPENDS http)
foxtailwheel_package(backend DEPENDS http serving)
foxtailwheel_package(peer DEPENDS http membership serving LIBRARIES OpenSSL::Crypto)
foxtailwheel_package(control DEPENDS serving store)
foxtailwheel_package(telemetry DEPENDS limits LIBRARIES log4cplus::log4cplus prometheus-cpp::core)
foxtailwheel_package(daemon DEPENDS backend control peer telemetry)

if(NOT FOXTAILWHEEL_DEPLOY)
  foxtailwheel_package(cli DEPENDS http LIBRARIES cxxopts::cxxopts)

  # Measurement and test parts.
  foxtailwheel_package(bench DEPENDS serving peer)
  foxtailwheel_package(standin DEPENDS http limits)
endif()
