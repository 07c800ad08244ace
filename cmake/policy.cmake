# The policy benchmark: the real decisions on a virtual clock.
file(GLOB policy_bench_sources CONFIGURE_DEPENDS bench/policy/*.cpp)
add_executable(policy_bench ${policy_bench_sources})
target_include_directories(policy_bench PRIVATE bench/policy)
target_link_libraries(policy_bench PRIVATE masticcourse standins warnings)
