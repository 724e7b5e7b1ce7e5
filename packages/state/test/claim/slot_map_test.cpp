#include <ggv/state/claim/slot_map.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <vector>

namespace {

using namespace ggv;
using detail::KeyState;
using detail::SlotMap;

// Returns keys that collide at the start and at the end of two shards.
KeyDigest collidingKey(std::uint32_t bits)
{
    const std::uint64_t low = bits / 4 % 32;
    return { std::uint64_t { bits % 2 } << 56U, bits % 4 < 2 ? low : ~low };
}

class SlotMapTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlotMapTest);
    CPPUNIT_TEST(behavesLikeAnOrderedMap);
    CPPUNIT_TEST_SUITE_END();

public:
    void behavesLikeAnOrderedMap()
    {
        CPPUNIT_ASSERT(rc::check("content equals that of a std::map", [] {
            SlotMap map;
            std::map<KeyDigest, std::uint64_t> model;
            const auto steps = *rc::gen::scale(5.0,
                                               rc::gen::container<std::vector<std::uint32_t>>(
                                                   rc::gen::arbitrary<std::uint32_t>()));
            for (const auto bits : steps) {
                const auto key = collidingKey(bits);
                if (model.erase(key) != 0U) {
                    map.erase(key);
                } else {
                    auto &slot = map.insert(key);
                    slot.setState(KeyState::Tombstone);
                    slot.fingerprint = model[key] = bits;
                }
                checkEqual(map, model);
            }
        }));
    }

private:
    static void checkEqual(SlotMap &map, const std::map<KeyDigest, std::uint64_t> &model)
    {
        RC_ASSERT(map.size() == model.size());
        auto it = model.begin();
        map.forEachSorted([&it](const detail::Slot &slot) {
            RC_ASSERT(slot.key == it->first);
            ++it;
        });
        for (const auto &[key, value] : model) {
            const auto *const slot = map.find(key);
            RC_ASSERT(slot != nullptr);
            RC_ASSERT(slot->fingerprint == value);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotMapTest);

} // namespace
