#include <ggv/state/core/error.hpp>
#include <ggv/state/storage/disk.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace {

using namespace ggv;

class PosixDiskTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PosixDiskTest);
    CPPUNIT_TEST(persistsFiles);
    CPPUNIT_TEST(rejectsSecondOpenOfLockedFolder);
    CPPUNIT_TEST(removesIncompleteReplacements);
    CPPUNIT_TEST(rejectsUseAfterFailure);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "ggv-disk-XXXXXX").string();
        CPPUNIT_ASSERT(::mkdtemp(name.data()) != nullptr);
        m_parent = name;
        m_folder = name + "/a/b";
    }

    void tearDown() override { std::filesystem::remove_all(m_parent); }

    void persistsFiles()
    {
        {
            const auto disk = openPosixDisk(m_folder);
            CPPUNIT_ASSERT(!disk->read("log"));
            disk->append("log", Bytes { 1, 2, 3 });
            disk->append("log", Bytes { 4 });
            disk->truncate("log", 2);
            disk->append("log", Bytes { 9 });
            disk->sync("log");
            disk->replace("state", Bytes { 5 });
            disk->replace("state", Bytes { 6, 7 });
            disk->append("gone", Bytes { 8 });
            disk->remove("gone");
            disk->remove("gone");
        }
        const auto disk = openPosixDisk(m_folder);
        const std::vector<std::string> names { "log", "state" };
        CPPUNIT_ASSERT(names == disk->list());
        CPPUNIT_ASSERT(Bytes({ 1, 2, 9 }) == disk->read("log"));
        CPPUNIT_ASSERT(Bytes({ 6, 7 }) == disk->read("state"));
    }

    void rejectsSecondOpenOfLockedFolder()
    {
        const auto disk = openPosixDisk(m_folder);
        CPPUNIT_ASSERT_THROW(openPosixDisk(m_folder), Error);
    }

    void removesIncompleteReplacements()
    {
        openPosixDisk(m_folder)->replace("state", Bytes { 1 });
        std::ofstream(m_folder + "/state.tmp") << "unfinished";
        const std::vector<std::string> names { "state" };
        CPPUNIT_ASSERT(names == openPosixDisk(m_folder)->list());
    }

    void rejectsUseAfterFailure()
    {
        const auto disk = openPosixDisk(m_folder);
        std::filesystem::create_directory(m_folder + "/folder");
        CPPUNIT_ASSERT_THROW(disk->append("folder", Bytes { 1 }), Error);
        CPPUNIT_ASSERT_THROW(disk->append("log", Bytes { 1 }), Error);
        CPPUNIT_ASSERT_THROW(disk->read("log"), Error);
    }

private:
    std::string m_parent;
    std::string m_folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PosixDiskTest);

} // namespace
