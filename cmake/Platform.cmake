# The adapter to the operators' platform, and the program that runs there.
file(GLOB platform_sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/platform/*.cpp)
list(FILTER platform_sources EXCLUDE REGEX "(Test|main)\\.cpp$")
add_library(foxtailwheel_platform STATIC ${platform_sources})
target_include_directories(foxtailwheel_platform PUBLIC ${PROJECT_SOURCE_DIR}/platform)
target_link_libraries(foxtailwheel_platform PUBLIC foxtailwheel_daemon OpenSSL::Crypto)
add_executable(foxtailwheel-front ${PROJECT_SOURCE_DIR}/platform/main.cpp)
target_link_libraries(foxtailwheel-front PRIVATE foxtailwheel_platform)
