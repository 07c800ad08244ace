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
