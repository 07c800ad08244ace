# What randomised tests of the state machines share, and the long randomised run.
file(GLOB test_support CONFIGURE_DEPENDS tests/support/*.cpp)
add_library(test_support STATIC ${test_support})
target_include_directories(test_support PUBLIC tests)
target_link_libraries(test_support PUBLIC standins masticcourse PRIVATE warnings)
target_link_libraries(unit_tests PRIVATE test_support)

file(GLOB soak_sources CONFIGURE_DEPENDS tests/soak/*.cpp)
add_executable(soak ${soak_sources})
target_link_libraries(soak PRIVATE test_support warnings)
add_test(NAME soak.fixed_seeds COMMAND soak --fixed)

# Prints what gateways ask of the store and of each other, by their number.
add_executable(fleet_laws bench/fleet_laws.cpp)
target_link_libraries(fleet_laws PRIVATE test_support warnings)
add_test(NAME bench.fleet_laws COMMAND fleet_laws 40)

# Prints what the exchange of load costs and how good its views are, by the number of gateways.
add_executable(load_laws bench/load_laws.cpp)
target_link_libraries(load_laws PRIVATE test_support warnings)
add_test(NAME bench.load_laws COMMAND load_laws 26)
