# The randomised run of the real control cores.
add_executable(system-soak tests/system_soak/system_soak_main.cpp)
target_link_libraries(system-soak PRIVATE test_support Boost::program_options warnings)

include(cmake/rpc.cmake)
# The seeds that once failed stand first, unchanged; then a fixed range.
add_test(NAME system_soak.once_failing COMMAND system-soak --list 2 6 7 10 16 20 30 43 44 50 52 59 60 164 200)
add_test(NAME system_soak.fixed_range COMMAND system-soak --seed 300 --seeds 60)
include(cmake/process.cmake)
include(cmake/capacity.cmake)
