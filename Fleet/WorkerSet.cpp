#include <Fleet/WorkerSet.h>

#include <algorithm>
#include <bit>

namespace Hibiscus {

namespace {

constexpr std::uint32_t wordBits = 64;

/// The lowest set bit at position `from` or above, if any.
std::optional<std::uint32_t> nextBit(const std::vector<std::uint64_t> &words, std::uint32_t from)
{
    std::size_t word = from / wordBits;
    if (word >= words.size())
        return std::nullopt;
    std::uint64_t bits = words[word] & (~std::uint64_t(0) << (from % wordBits));
    while (bits == 0) {
        if (++word == words.size())
            return std::nullopt;
        bits = words[word];
    }
    return static_cast<std::uint32_t>(word * wordBits) + std::countr_zero(bits);
}

} // namespace

void WorkerSet::resize(std::size_t size)
{
    const std::size_t wordCount = (size + wordBits - 1) / wordBits;
    if (wordCount <= this->words.size())
        return;
    this->words.resize(wordCount);
    this->summary.resize((wordCount + wordBits - 1) / wordBits);
}

void WorkerSet::insert(WorkerId worker)
{
    std::uint64_t &word = this->words[worker.value / wordBits];
    const std::uint64_t bit = std::uint64_t(1) << (worker.value % wordBits);
    if ((word & bit) != 0)
        return;
    word |= bit;
    ++this->memberCount;
    const std::uint32_t index = worker.value / wordBits;
    this->summary[index / wordBits] |= std::uint64_t(1) << (index % wordBits);
}

void WorkerSet::erase(WorkerId worker)
{
    if (!this->contains(worker))
        return;
    const std::uint32_t index = worker.value / wordBits;
    std::uint64_t &word = this->words[index];
    word &= ~(std::uint64_t(1) << (worker.value % wordBits));
    --this->memberCount;
    if (word == 0)
        this->summary[index / wordBits] &= ~(std::uint64_t(1) << (index % wordBits));
}

void WorkerSet::assign(WorkerId worker, bool isMember)
{
    if (isMember)
        this->insert(worker);
    else
        this->erase(worker);
}

void WorkerSet::clear()
{
    std::fill(this->words.begin(), this->words.end(), 0);
    std::fill(this->summary.begin(), this->summary.end(), 0);
    this->memberCount = 0;
}

bool WorkerSet::contains(WorkerId worker) const
{
    const std::size_t index = worker.value / wordBits;
    if (index >= this->words.size())
        return false;
    return ((this->words[index] >> (worker.value % wordBits)) & 1) != 0;
}

std::optional<WorkerId> WorkerSet::next(WorkerId from) const
{
    const std::uint32_t index = from.value / wordBits;
    if (index >= this->words.size())
        return std::nullopt;
    const std::uint64_t rest = this->words[index] & (~std::uint64_t(0) << (from.value % wordBits));
    if (rest != 0)
        return WorkerId{index * wordBits + std::countr_zero(rest)};
    const auto word = nextBit(this->summary, index + 1);
    if (!word)
        return std::nullopt;
    return WorkerId{*word * wordBits + std::countr_zero(this->words[*word])};
}

} // namespace Hibiscus
