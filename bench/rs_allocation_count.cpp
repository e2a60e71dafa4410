#include <bench/rs_allocation_count.hpp>

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::size_t> count{0};
std::atomic<std::size_t> bytes{0};

} // namespace

// The replacements count what the measured code allocates. Sizes come from the
// heap, since the unsized `operator delete` has no other source for them.
void* operator new(std::size_t size) {
    auto* const made = std::malloc(size == 0 ? 1 : size);
    if (made == nullptr)
        throw std::bad_alloc();
    count.fetch_add(1, std::memory_order_relaxed);
    bytes.fetch_add(malloc_usable_size(made), std::memory_order_relaxed);
    return made;
}

void operator delete(void* it) noexcept {
    if (it == nullptr)
        return;
    bytes.fetch_sub(malloc_usable_size(it), std::memory_order_relaxed);
    std::free(it);
}

void operator delete(void* it, std::size_t /*size*/) noexcept {
    operator delete(it);
}

namespace radishspread::bench {

std::size_t allocation_count() {
    return count.load(std::memory_order_relaxed);
}

std::size_t allocated_bytes() {
    return bytes.load(std::memory_order_relaxed);
}

} // namespace radishspread::bench
