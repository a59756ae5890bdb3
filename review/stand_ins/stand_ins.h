#ifndef SESAMEPADDLE_REVIEW_STAND_INS_H
#define SESAMEPADDLE_REVIEW_STAND_INS_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

/** Stand-ins for the platform, endpoints and callers, and the processes of the
    project, for the scripts of the review. All addresses are loopback ones. */
namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Ends the case with exit code 2: it could not run. */
[[noreturn]] void giveUp(const std::string &Why);

/** Writes lines with the time since the start to record.txt and to stdout. */
class record {
public:
  explicit record(const std::string &Path);
  void line(const std::string &Text);
  double seconds() const;

private:
  int File;
  steady::time_point Start = steady::now();
  std::mutex Mutex;
};

/** One HTTP/1.1 message. */
struct message {
  std::string StartLine;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  std::string header(std::string_view Name) const;
  /** @returns a word of the start line. */
  std::string word(std::size_t Index) const;
  int status() const;
};

/** How reading a message ended. */
enum class read_end : std::uint8_t {
  Whole,
  Closed, ///< before the first byte
  Cut,    ///< the connection ended within the message
  Late,   ///< nothing came in time
};

/** A connected TCP socket. Reads and writes block. */
class byte_stream {
public:
  explicit byte_stream(int Descriptor) : Descriptor(Descriptor) {}
  ~byte_stream();
  byte_stream(const byte_stream &) = delete;
  byte_stream &operator=(const byte_stream &) = delete;

  /** @param ReceiveBytes  size of the receive buffer; 0: the system's
      @returns null when nothing accepts the connection */
  static std::unique_ptr<byte_stream> connect(const std::string &Address,
                                              int ReceiveBytes = 0);

  bool send(std::string_view Bytes);
  /** Reads one message with a Content-Length.
      @param BytesPerSecond  pace of reading; 0: as fast as possible */
  read_end read(message &Message, milliseconds Timeout,
                double BytesPerSecond = 0);
  /** Ends reads and writes of other threads. */
  void shutdown() const;

private:
  int Descriptor;
  std::string Buffer;
};

/** Listens on an address and serves each connection on a thread. */
class listener {
public:
  listener(std::string Address, std::function<void(byte_stream &)> Serve);
  ~listener();
  listener(const listener &) = delete;
  listener &operator=(const listener &) = delete;
  const std::string &address() const { return Address; }

private:
  std::string Address;
  int Descriptor;
  std::function<void(byte_stream &)> Serve;
  std::mutex Mutex;
  std::vector<std::weak_ptr<byte_stream>> Streams;
  std::vector<std::thread> Workers;
  std::thread Acceptor;
  std::atomic<bool> IsOver{false};
};

/** The platform's store: rows, conditional writes, the feed of changes. */
class platform_store {
public:
  explicit platform_store(const std::string &Address);
  ~platform_store();
  platform_store(const platform_store &) = delete;
  platform_store &operator=(const platform_store &) = delete;

  /** Writes a row, or removes it when there is no @p Value. */
  void put(const std::string &Table, const std::string &Key,
           const std::optional<std::string> &Value);
  std::optional<std::string> value(const std::string &Table,
                                   const std::string &Key);
  const std::string &address() const { return Server->address(); }

private:
  struct row {
    std::optional<std::string> Value;
    std::uint64_t Revision = 0;
  };
  using table = std::map<std::string, row>;

  void serve(byte_stream &Stream);
  std::string answer(const message &Request, int &Status);
  std::string readRows(const std::string &Target);
  std::string readFeed(const std::string &Target);
  std::string commit(const std::string &Body, int &Status);
  double secondsNow() const;

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, table> Tables;
  std::uint64_t Revision = 0;
  bool IsOver = false;
  steady::time_point Start = steady::now();
  std::unique_ptr<listener> Server;
};

/** What an endpoint says of itself in the store. */
struct endpoint_entry {
  std::string Id;
  std::string Service;
  std::string Address;
  std::string Zone;
  std::string Version = "v1";
  int Slots = 8;
  std::int64_t Born = 0;

  std::string row(const std::string &State, unsigned Sequence) const;
};

/** An endpoint: answers requests, and writes its entry every HeartbeatTime. */
class endpoint {
public:
  /** Answers one request that the endpoint runs.
      @returns false when the connection has to end */
  using handler = std::function<bool(byte_stream &, const message &)>;

  static constexpr milliseconds HeartbeatTime{1'500};

  endpoint(platform_store &Store, endpoint_entry Entry, handler Handler);
  ~endpoint();
  endpoint(const endpoint &) = delete;
  endpoint &operator=(const endpoint &) = delete;

  /** Writes the state at once, and from now on. */
  void setState(const std::string &State);
  /** @returns the sequence number of the latest entry. */
  unsigned sequence();
  const endpoint_entry &entry() const { return Entry; }

private:
  void serve(byte_stream &Stream);
  void beat();

  platform_store &Store;
  endpoint_entry Entry;
  handler Handler;
  std::mutex Mutex;
  std::condition_variable Stopping;
  std::string State = "ready";
  unsigned Sequence = 0;
  bool IsOver = false;
  std::unique_ptr<listener> Server;
  std::thread Heart;
};

/** @returns an answer of an endpoint to @p Request.
    @param FirstHeaders  header lines before all others, with line ends */
std::string makeAnswer(const message &Request, int Status,
                       const std::string &Stamp, const std::string &Body,
                       const std::string &FirstHeaders = "");

/** Where a VM of the project listens. */
struct vm_place {
  std::string Name;
  std::string Region;
  std::string Zone;
  std::string Ip;

  std::string callers() const { return Ip + ":8686"; }
  std::string readiness() const { return Ip + ":8680"; }
  std::string directory() const { return Ip + ":8684"; }
};

/** A process of the project, started with the command of the deploy file. */
class vm_process {
public:
  /** @param Folder  for the settings and the output
      @param All  the VMs of the deployment */
  vm_process(const std::string &Folder, const vm_place &Place,
             const std::vector<vm_place> &All, const std::string &Store);
  ~vm_process();
  vm_process(const vm_process &) = delete;
  vm_process &operator=(const vm_process &) = delete;

  void signal(int Number) const;
  /** @returns true once the VM says that it is ready. */
  bool waitUntilReady(milliseconds Timeout) const;
  /** @returns true when the process has ended. */
  bool hasEnded(milliseconds Timeout);
  const vm_place &place() const { return Place; }
  pid_t id() const { return Process; }

private:
  vm_place Place;
  pid_t Process = 0;
  bool IsOver = false;
};

/** @returns the status of a GET request, 0 when there is no answer. */
int statusOf(const std::string &Address, const std::string &Path);

/** The folder of a case, a temporary one, and addresses that are free. */
class test_bed {
public:
  /** @param Folder  of the case, for record.txt */
  explicit test_bed(const std::string &Folder);
  ~test_bed();
  test_bed(const test_bed &) = delete;
  test_bed &operator=(const test_bed &) = delete;

  /** @returns an IP address of this test alone. */
  std::string nextIp();
  /** @returns VMs in zone-a, zone-b, zone-c, zone-a ... of one region each. */
  std::vector<vm_place> places(std::size_t Count);

  record Record;
  std::string Temporary;
  /** False with TROUBLE=0. */
  bool HasTrouble;

private:
  unsigned Network;
  unsigned LastHost = 0;
};

/** One route of a manifest with a service of the same name. */
struct manifest_route {
  std::string Name;
  std::string Prefix;
  std::string Kind; ///< "safe" or "unsafe"
  double TimeoutSeconds = 3;
  double TargetSeconds = 0.4;
  int MaxAttempts = 2;
};

/** @returns a manifest for the host shop.example with one tenant, whose key is
    the key-1. */
std::string makeManifest(unsigned Version,
                         const std::vector<manifest_route> &Routes);

/** @returns a request of the tenant. */
std::string makeRequest(const std::string &Method, const std::string &Path,
                        const std::string &Id, int DeadlineMs,
                        const std::string &Body = "");

} // namespace review

#endif
