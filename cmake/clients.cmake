# Clients that don't behave, against real gateways: a test each, one at a time.
set(clients_test ${CMAKE_SOURCE_DIR}/tests/clients/clients_test.py)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${clients_test})
execute_process(COMMAND python3 ${clients_test} --list OUTPUT_VARIABLE clients_cases
  OUTPUT_STRIP_TRAILING_WHITESPACE COMMAND_ERROR_IS_FATAL ANY)
string(REPLACE "\n" ";" clients_cases "${clients_cases}")
foreach(case IN LISTS clients_cases)
  string(MAKE_C_IDENTIFIER "${case}" name)
  add_test(NAME clients.${name} COMMAND python3 ${clients_test} --build ${CMAKE_BINARY_DIR} --case "${case}")
  set_tests_properties(clients.${name} PROPERTIES RUN_SERIAL TRUE TIMEOUT 600)
endforeach()
