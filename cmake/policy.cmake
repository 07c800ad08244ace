# The policy benchmark: the real decisions on a virtual clock.
file(GLOB policy_bench_sources CONFIGURE_DEPENDS bench/policy/*.cpp)
add_executable(policy_bench ${policy_bench_sources})
target_include_directories(policy_bench PRIVATE bench/policy)
target_link_libraries(policy_bench PRIVATE masticcourse standins warnings)

# A reduced run, in virtual time: its verdict doesn't depend on the machine's speed.
add_test(NAME bench.policy_bounds
  COMMAND policy_bench --table check --mix atlas urad --load 0.9 2.0 --seed 1 --arrivals 150
          --bounds ${CMAKE_SOURCE_DIR}/bench/policy_bounds.txt)
