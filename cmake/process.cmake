# Few tests over real processes on loopback: each starts a deployment of its own.
file(GLOB process_sources CONFIGURE_DEPENDS tests/process/*.cpp)
add_executable(process_tests ${process_sources})
target_link_libraries(process_tests PRIVATE masticcourse warnings)
target_compile_definitions(process_tests PRIVATE MASTICCOURSE_BINARY_DIR="${CMAKE_BINARY_DIR}")
add_dependencies(process_tests masticcourse-entry masticcourse-target platform-store vm-list model-engine plain-service)
add_test(NAME process.all COMMAND process_tests)
set_tests_properties(process.all PROPERTIES RUN_SERIAL TRUE TIMEOUT 180)
