# The randomised run of the real control cores.
add_executable(system-soak tests/system_soak/system_soak_main.cpp)
target_link_libraries(system-soak PRIVATE test_support Boost::program_options warnings)

include(cmake/rpc.cmake)
