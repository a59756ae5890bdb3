#ifndef SESAMEPADDLE_REVIEW_STAND_INS_2_BED_H
#define SESAMEPADDLE_REVIEW_STAND_INS_2_BED_H

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

// Stand-ins for the platform's store, endpoints and consumers, and VMs of the
// project in processes of their own. They speak what PROTOCOL.md says. All
// addresses are loopback addresses; the VMs differ in the address and have the
// same ports.
namespace review {

using json = nlohmann::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/** @returns the time since the program started. */
milliseconds now();

/** Writes a line to the case's record, with the time. */
void note(const std::string &Text);

/** One HTTP message. */
struct message {
  std::string StartLine;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  /** @returns the value of the first field with this name, or an empty text. */
  std::string field(const std::string &Name) const;
  /** @returns the method and the target of a request. */
  std::string method() const;
  std::string target() const;
  /** @returns the status of an answer; 0 without one. */
  unsigned status() const;
};

/** How reading a message ended. */
enum class read_end : std::uint8_t {
  Whole,
  Closed,  ///< by the other side, before the message began
  CutOff,  ///< by the other side, within the message, or with a reset
  TimedOut ///< before the message was whole
};

/** A connection. */
class connection {
public:
  explicit connection(int Descriptor) : Descriptor(Descriptor) {}
  ~connection();
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  /** @returns a new connection to an address, or null. */
  static std::unique_ptr<connection> open(const std::string &Ip, int Port);

  bool send(const std::string &Bytes);
  /** Reads the next message. An answer without a length is not supported. */
  read_end read(message &Message, milliseconds Timeout);
  /** @returns true when the other side has closed the connection. */
  bool isClosed();
  void reset(); ///< closes it so that the other side sees a reset

private:
  int Descriptor;
  std::string Buffer;
};

/** Accepts connections and serves each on a thread of its own. */
class listener {
public:
  using server = std::function<void(connection &)>;
  listener(const std::string &Ip, server Serve);
  int port() const { return Port; }
  /** Stops to listen; new connections are refused. */
  void close();

private:
  void accept();
  std::atomic<int> Descriptor;
  int Port = 0;
  server Serve;
};

/** The platform's store. */
class store {
public:
  store();
  std::string address() const;
  void put(const std::string &Table, const std::string &Key,
           std::optional<std::string> Value);
  /** @returns the value of a row; nothing when it does not exist. */
  std::optional<std::string> value(const std::string &Table,
                                   const std::string &Key);
  std::uint64_t version();
  /** While silent, it takes calls and answers none of them. */
  void setSilent(bool Wanted);
  bool isSilent() const { return IsSilent; }
  /** From a change until a waiting feed is answered, and of each other call. */
  std::atomic<int> AnswerMs{4};

private:
  struct row {
    std::optional<std::string> Value;
    std::uint64_t Version = 0;
  };
  using row_map = std::map<std::pair<std::string, std::string>, row>;

  void serve(connection &Connection);
  std::string answer(const message &Request);
  std::string describe(const std::string &Table, std::uint64_t After,
                       bool WithRemoved);
  std::string commit(const std::string &Body);

  std::mutex Mutex;
  std::condition_variable Changed;
  row_map Rows;
  std::uint64_t Version = 0;
  std::atomic<bool> IsSilent{false};
  std::unique_ptr<listener> Listener;
};

/** What an endpoint does with a request. */
struct reaction {
  unsigned Status = 200;
  std::string Body = "done";
  milliseconds After{0}; ///< time that the work takes
  bool IsLost = false;   ///< the connection is reset instead of an answer
};

/** One run of a request at an endpoint. */
struct run {
  std::string Endpoint;
  std::string Service;
  std::string Id; ///< of the request
  milliseconds At{0};
};

/** All runs of requests. */
class run_log {
public:
  void add(run Run);
  std::vector<run> of(const std::string &Id);

private:
  std::mutex Mutex;
  std::vector<run> Runs;
};

/** An endpoint. It runs a request when it has read the whole of it. */
class endpoint {
public:
  using script = std::function<reaction(const message &)>;
  endpoint(std::string Id, std::string Service, std::string Zone, run_log &Runs,
           script Script);
  /** Writes its row. */
  void beat(store &Store, const std::string &State);
  /** Writes its row every 1.5 s, as long as the store answers, until leave().
   */
  void keepBeating(store &Store);
  /** Removes its row; it goes on serving. */
  void leave(store &Store);
  /** Ends the process: its connections are reset, new ones refused. */
  void end();
  const std::string &id() const { return Id; }

private:
  void serve(connection &Connection);

  std::string Id;
  std::string Service;
  std::string Zone;
  run_log &Runs;
  script Script;
  std::mutex RowMutex; // of the two below
  std::uint64_t Sequence = 0;
  bool HasLeft = false;
  std::atomic<bool> HasEnded{false};
  std::unique_ptr<listener> Listener;
};

/** What the VMs of a case have in common. */
struct fleet {
  std::string Folder;  ///< for settings and logs
  std::string Program; ///< of the VMs
  std::string Store;   ///< its address
  int Port = 0;        ///< the first of seven ports of each VM
  std::vector<std::string> Seeds;
  /** Failure domain and region of each. */
  std::vector<std::pair<std::string, std::string>> Domains;
  int Descriptors = 4100;
};

/** @returns the first of some ports that are free on all addresses. */
int findPorts(const std::vector<std::string> &Ips);

/** A VM of the project, started with the command of the deploy file. */
class vm {
public:
  vm(const fleet &Fleet, std::string Name, std::string Ip, std::string Domain);
  ~vm();
  vm(const vm &) = delete;
  vm &operator=(const vm &) = delete;

  void start();
  void signal(int Number);
  /** @returns true when its readiness address answers 200. */
  bool isReady() const;
  bool awaitReady(milliseconds Timeout) const;
  bool isRunning();
  int callerPort() const { return Fleet.Port; }
  const std::string &ip() const { return Ip; }
  const std::string &name() const { return Name; }
  /** @returns the text of its log so far. */
  std::string log() const;

private:
  std::string path(const std::string &Suffix) const;

  const fleet &Fleet;
  std::string Name;
  std::string Ip;
  std::string Domain;
  pid_t Process = -1;
};

/** What a consumer got. */
struct outcome {
  read_end End = read_end::TimedOut;
  unsigned Status = 0;
  std::string Body;
  milliseconds Took{0};
};

/** @returns the text of a request. */
std::string makeRequest(const std::string &Method, const std::string &Target,
                        const std::string &Host, const std::string &Id,
                        int DeadlineMs, const std::string &Body = "");
/** Sends a request on a connection and awaits its answer. */
outcome ask(connection &Connection, const std::string &Request,
            milliseconds Timeout);

/** @returns a route of a manifest. */
json makeRoute(const std::string &Name, const std::string &Prefix,
               const std::string &Kind, const std::string &Service,
               double TimeoutS);
/** @returns a manifest without tenants. */
json makeManifest(int Version, const std::vector<std::string> &Services,
                  const std::string &Host, std::vector<json> Routes);

/** Options of a case's program: FOLDER PROGRAM RECORD. Reads TROUBLE. */
struct options {
  std::string Folder;
  std::string Program;
  bool IsTrouble = true;
};
options readOptions(int Count, char **Arguments);

/** Ends the program at once: 0 held, 1 broken, 2 not run. All VMs must be
    gone. */
[[noreturn]] void finish(int Status);

void pause(milliseconds Time);

} // namespace review

#endif
