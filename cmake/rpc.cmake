# JSON-RPC between our processes. libjsonrpccpp's headers carry exception specifications that C++17 rejects, so what
# includes them is a library of its own in C++14.
find_library(JSONCPP_LIBRARY jsoncpp REQUIRED)
find_library(JSONRPC_COMMON_LIBRARY jsonrpccpp-common REQUIRED)
find_library(JSONRPC_CLIENT_LIBRARY jsonrpccpp-client REQUIRED)
find_library(JSONRPC_SERVER_LIBRARY jsonrpccpp-server REQUIRED)
file(GLOB rpc_sources CONFIGURE_DEPENDS src/rpc/*.cpp)
add_library(rpc STATIC ${rpc_sources})
set_target_properties(rpc PROPERTIES CXX_STANDARD 14)
target_include_directories(rpc PUBLIC include)
# Overriding the library's virtual functions takes the specifications that newer standards deprecate.
target_compile_options(rpc PRIVATE -Wno-deprecated)
target_link_libraries(rpc PRIVATE warnings ${JSONRPC_SERVER_LIBRARY} ${JSONRPC_CLIENT_LIBRARY}
                      ${JSONRPC_COMMON_LIBRARY} ${JSONCPP_LIBRARY})
target_link_libraries(masticcourse PUBLIC rpc)
