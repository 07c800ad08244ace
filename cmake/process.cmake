# Few tests over real processes on loopback: each starts a deployment of its own.
file(GLOB process_sources CONFIGURE_DEPENDS tests/process/*.cpp)
add_executable(process_tests ${process_sources})
target_link_libraries(process_tests PRIVATE masticcourse warnings)
target_compile_definitions(process_tests PRIVATE MASTICCOURSE_BINARY_DIR="${CMAKE_BINARY_DIR}")
add_dependencies(process_tests masticcourse-entry masticcourse-target platform-store vm-list model-engine plain-service)
# An entry of its own for the case that KNOWN-RED.txt lists; join them once it is mended.
add_test(NAME process.all COMMAND process_tests "--test-case-exclude=a graceful shutdown gives back*")
add_test(NAME process.release_budget COMMAND process_tests "--test-case=a graceful shutdown gives back*")
set_tests_properties(process.all process.release_budget PROPERTIES RUN_SERIAL TRUE TIMEOUT 180)
