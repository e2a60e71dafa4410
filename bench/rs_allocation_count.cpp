#include <bench/rs_allocation_count.hpp>

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::size_t> count{0};
std::atomic<std::size_t> bytes{0};

} // namespace

// Replacements of the global operators that count the allocations of the
// measured code. Sizes are read from the allocator, since the unsized `operator
// delete` does not receive the size.
void* operator new(std::size_t size) {
    auto* const block = std::malloc(size == 0 ? 1 : size);
    if (block == nullptr)
        throw std::bad_alloc();
    count.fetch_add(1, std::memory_order_relaxed);
    bytes.fetch_add(malloc_usable_size(block), std::memory_order_relaxed);
    return block;
}

void operator delete(void* block) noexcept {
    if (block == nullptr)
        return;
    bytes.fetch_sub(malloc_usable_size(block), std::memory_order_relaxed);
    std::free(block);
}

void operator delete(void* block, std::size_t /*size*/) noexcept {
    operator delete(block);
}

namespace radishspread::bench {

std::size_t allocation_count() {
    return count.load(std::memory_order_relaxed);
}

std::size_t allocated_bytes() {
    return bytes.load(std::memory_order_relaxed);
}

} // namespace radishspread::bench
