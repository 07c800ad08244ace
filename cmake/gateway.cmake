# What the gateway of the users' platform consists of: its decisions and state, and the parts of the library below them.
file(GLOB gateway_sources CONFIGURE_DEPENDS src/gateway/*.cpp src/gateway/*/*.cpp src/codec/bounded_json.cpp src/codec/cbor_nesting.cpp src/core/*.cpp src/memory/*.cpp src/telemetry/event.cpp
  src/telemetry/latency_histogram.cpp src/telemetry/log.cpp src/telemetry/metrics.cpp src/net/deadline.cpp
  src/net/endpoint.cpp src/net/event_loop.cpp src/net/http_*.cpp src/net/serial_executor.cpp src/net/percent.cpp src/net/request_parser.cpp src/net/response_check.cpp src/net/session_exchange.cpp src/net/sse.cpp src/net/tcp_*.cpp)
add_library(masticcourse-core STATIC ${gateway_sources})
target_include_directories(masticcourse-core PUBLIC include)
target_compile_definitions(masticcourse-core PUBLIC BOOST_ASIO_NO_DEPRECATED)
target_link_libraries(masticcourse-core PUBLIC glog::glog Threads::Threads xxhash sodium PRIVATE warnings)

# The adapter: the only code that knows the platform's names.
file(GLOB platform_sources CONFIGURE_DEPENDS platform/*.cpp)
list(FILTER platform_sources EXCLUDE REGEX "_main.cpp$")
add_library(platform STATIC ${platform_sources})
target_include_directories(platform PUBLIC platform)
target_link_libraries(platform PUBLIC masticcourse-core PRIVATE warnings)

add_executable(masticcourse-gateway platform/gateway_main.cpp)
target_link_libraries(masticcourse-gateway PRIVATE platform warnings)
