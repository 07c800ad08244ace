# Tests of real processes in Python: a test for each case that the script lists, one at a time.
function(add_case_tests prefix script timeout)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${script} ${ARGN})
  execute_process(COMMAND python3 ${script} --list OUTPUT_VARIABLE cases
    OUTPUT_STRIP_TRAILING_WHITESPACE COMMAND_ERROR_IS_FATAL ANY)
  string(REPLACE "\n" ";" cases "${cases}")
  foreach(case IN LISTS cases)
    string(MAKE_C_IDENTIFIER "${case}" name)
    add_test(NAME ${prefix}.${name} COMMAND python3 ${script} --build ${CMAKE_BINARY_DIR} --case "${case}")
    set_tests_properties(${prefix}.${name} PROPERTIES RUN_SERIAL TRUE TIMEOUT ${timeout})
  endforeach()
endfunction()

# Clients that don't behave.
add_case_tests(clients ${CMAKE_SOURCE_DIR}/tests/clients/clients_test.py 600)
# Targets and a store that send what is no answer, and planned stops.
file(GLOB answers_files CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/answers/*.py)
add_case_tests(answers ${CMAKE_SOURCE_DIR}/tests/answers/answers_test.py 300 ${answers_files})
