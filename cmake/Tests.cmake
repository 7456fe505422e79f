file(GLOB_RECURSE test_sources CONFIGURE_DEPENDS
  ${PROJECT_SOURCE_DIR}/src/foxtailwheel/*Test.cpp
  ${PROJECT_SOURCE_DIR}/src/foxtailwheel/testing/*.cpp
  ${PROJECT_SOURCE_DIR}/platform/*Test.cpp)
add_executable(foxtailwheel-tests ${test_sources})
target_include_directories(foxtailwheel-tests PRIVATE ${PROJECT_SOURCE_DIR}/src)
target_link_libraries(foxtailwheel-tests PRIVATE
  foxtailwheel_platform foxtailwheel_cli foxtailwheel_standin foxtailwheel_bench PkgConfig::CRITERION rapidcheck)

# Prints the table of outcomes under faults.
file(GLOB testing_sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/foxtailwheel/testing/*.cpp)
add_executable(foxtailwheel-outcomes ${PROJECT_SOURCE_DIR}/src/foxtailwheel/apps/foxtailwheel-outcomes.cpp ${testing_sources})
target_include_directories(foxtailwheel-outcomes PRIVATE ${PROJECT_SOURCE_DIR}/src)
target_link_libraries(foxtailwheel-outcomes PRIVATE foxtailwheel_control)
