# The slopes that docs/CAPACITY.md stands on: the real control cores in virtual time, at small sizes.
file(GLOB capacity_sources CONFIGURE_DEPENDS bench/capacity/*.cpp)
add_executable(capacity ${capacity_sources})
target_link_libraries(capacity PRIVATE test_support warnings)
