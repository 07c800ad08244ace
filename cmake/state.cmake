# The long randomised run, and seeds of property tests that are the same on every run.
if(EXISTS ${CMAKE_SOURCE_DIR}/tests/soak/soak_main.cpp)
  file(GLOB soak_sources CONFIGURE_DEPENDS tests/soak/*.cpp)
  add_executable(soak ${soak_sources})
  target_link_libraries(soak PRIVATE masticcourse standins warnings)
  target_include_directories(soak PRIVATE tests)
  add_test(NAME soak.fixed_seeds COMMAND soak --fixed)
endif()

get_property(all_tests DIRECTORY PROPERTY TESTS)
foreach(test ${all_tests})
  set_tests_properties(${test} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20260")
endforeach()
