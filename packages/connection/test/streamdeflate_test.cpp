#include "streamdeflate.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class StreamDeflateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamDeflateTest);
  CPPUNIT_TEST(stream_severalParts_areEachRestoredAtOnce);
  CPPUNIT_TEST(stream_repeatedText_takesFewBytes);
  CPPUNIT_TEST(restore_garbage_isRefused);
  CPPUNIT_TEST(restore_growsTooMuch_isRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void stream_severalParts_areEachRestoredAtOnce() {
    for (const std::size_t Size : {1, 100, 4096, 4097, 100000}) {
      std::string Part;
      for (std::size_t I = 0; I < Size; ++I)
        Part += static_cast<char>(I * I * 31 >> 3);
      std::string Restored;
      CPPUNIT_ASSERT(
          !m_Inflater.restore(m_Deflater.compress(Part), 1 << 20, Restored));
      CPPUNIT_ASSERT(Restored == Part);
    }
  }

  void stream_repeatedText_takesFewBytes() {
    const std::string Part(120, 'x');
    m_Deflater.compress(Part + "some-target-name");
    CPPUNIT_ASSERT(m_Deflater.compress(Part + "some-target-name").size() < 20);
  }

  void restore_garbage_isRefused() {
    std::string Out;
    CPPUNIT_ASSERT(m_Inflater.restore("\xff\xff\xff\xff", 1 << 20, Out) ==
                   Errc::InvalidInput);
  }

  void restore_growsTooMuch_isRefused() {
    const auto Small = m_Deflater.compress(std::string(1 << 20, '0'));
    std::string Out;
    CPPUNIT_ASSERT(m_Inflater.restore(Small, 1 << 16, Out) ==
                   Errc::LimitExceeded);
  }

private:
  StreamDeflater m_Deflater;
  StreamInflater m_Inflater;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamDeflateTest);

} // namespace mangodeck
