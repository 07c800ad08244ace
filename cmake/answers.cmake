# Targets and a store that send what is no answer, and planned stops, against real gateways: a test each, one at a time.
set(answers_test ${CMAKE_SOURCE_DIR}/tests/answers/answers_test.py)
file(GLOB answers_files CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/answers/*.py)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${answers_files})
execute_process(COMMAND python3 ${answers_test} --list OUTPUT_VARIABLE answers_cases
  OUTPUT_STRIP_TRAILING_WHITESPACE COMMAND_ERROR_IS_FATAL ANY)
string(REPLACE "\n" ";" answers_cases "${answers_cases}")
foreach(case IN LISTS answers_cases)
  string(MAKE_C_IDENTIFIER "${case}" name)
  add_test(NAME answers.${name} COMMAND python3 ${answers_test} --build ${CMAKE_BINARY_DIR} --case "${case}")
  set_tests_properties(answers.${name} PROPERTIES RUN_SERIAL TRUE TIMEOUT 300)
endforeach()
