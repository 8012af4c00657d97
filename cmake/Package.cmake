# hibiscus_package(NAME [DEPENDS package...] [LIBRARIES library...])
# Adds a static library of all sources in the current folder. Its headers are included as
# <NAME/File.h>.
function(hibiscus_package NAME)
    cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES;EXCLUDE" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    foreach(excluded ${ARG_EXCLUDE})
        list(REMOVE_ITEM sources ${CMAKE_CURRENT_SOURCE_DIR}/${excluded})
    endforeach()
    add_library(${NAME} STATIC ${sources})
    target_include_directories(${NAME} PUBLIC ${PROJECT_SOURCE_DIR})
    target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS} ${ARG_LIBRARIES} tl::expected)
endfunction()
