#ifndef SESAMEPADDLE_REVIEW_STAND_INS_3_RIG_H
#define SESAMEPADDLE_REVIEW_STAND_INS_3_RIG_H

#include <nlohmann/json.hpp>

#include <atomic>
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
#include <thread>
#include <utility>
#include <vector>

/** Stand-ins for the platform's store, endpoints and consumers, and a runner of
    the project's processes. All addresses are loopback addresses. */
namespace rig {

/** @returns the seconds since the program started. */
double now();
void sleepFor(double Seconds);
void sleepUntil(double Time);
std::int64_t unixMilliseconds();

/** Writes record.txt. */
class recorder {
public:
  explicit recorder(const std::string &Path);
  void line(const std::string &Text);

private:
  std::mutex Mutex;
  std::ofstream File;
};

struct http_message {
  std::string Start; ///< request line or status line
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  /** @returns the value of a field, or an empty text. */
  std::string field(const std::string &Name) const;
  /** @returns a word of the first line, counted from 0. */
  std::string word(std::size_t Index) const;
  int status() const;
};

/** A connected socket that is read message by message. */
class stream {
public:
  explicit stream(int Socket) : Socket(Socket) {}
  ~stream();
  stream(const stream &) = delete;
  stream &operator=(const stream &) = delete;

  /** @returns the next message, or nothing when the connection ended or the
      time passed first */
  std::optional<http_message> read(double Until);
  bool write(const std::string &Bytes);
  /** Ends reading and writing in all threads. */
  void shutDown();
  /** Ends reading and writing; the connection is reset when it is closed. */
  void reset();
  /** Has the connection reset, without an orderly end, when it is closed. */
  void resetOnClose() const;
  int handle() const { return Socket; }

private:
  bool fill(double Until);
  /** Moves @p Size bytes to the end of @p To. */
  bool take(std::size_t Size, std::string &To, double Until);
  bool takeLine(std::string &To, double Until);
  bool takeChunks(std::string &To, double Until);

  int Socket;
  bool IsEnded = false; ///< by the other side, in order
  std::string Buffer;
};

/** @returns a connected socket, or -1. */
int connectTo(const std::string &Ip, int Port, double Seconds);

/** Accepts connections and serves each one in a thread. */
class server {
public:
  using handler = std::function<void(const std::shared_ptr<stream> &)>;
  ~server() { stop(); }

  /** @param Port  0: a free one */
  bool start(const std::string &Ip, int Port, handler Handler);
  /** Closes the listener and resets all connections. */
  void stop();
  int port() const { return Port; }

private:
  void acceptLoop();

  handler Handler;
  int Listener = -1;
  int Port = 0;
  std::atomic<bool> IsStopped{true};
  std::thread Acceptor;
  std::mutex Mutex;
  std::vector<std::weak_ptr<stream>> Streams;
  std::atomic<int> Threads{0};
};

/** The platform's store: rows only. Each machine has an address of it for
    itself, so that the store knows who calls. */
class store {
public:
  /** Opens the address for the next machine. @returns its port, or 0 */
  int open(const std::string &Ip);
  /** Turns all machines away with 503, or ends that. */
  void setDown(bool IsDownNow) { IsDown = IsDownNow; }
  /** @returns the machine that read the table of endpoints last, counted from
      0 in the order of open() */
  int lastReader() const { return LastReader; }

  /** Writes as the operator or an endpoint does. @returns the version */
  std::uint64_t put(const std::string &Table, const std::string &Key,
                    const nlohmann::json &Value);
  /** The same with any bytes. */
  std::uint64_t putText(const std::string &Table, const std::string &Key,
                        const std::string &Text);
  void remove(const std::string &Table, const std::string &Key);
  /** @returns the text of a row, or nothing. */
  std::optional<std::string> value(const std::string &Table,
                                   const std::string &Key);

private:
  struct row {
    std::optional<std::string> Value; ///< none: removed
    std::uint64_t Version = 0;
  };
  using row_name = std::pair<std::string, std::string>;

  void serve(const std::shared_ptr<stream> &Stream, int Machine);
  std::string answer(const http_message &Request, int &Status);
  std::string readFeed(const std::string &Target);
  std::string commit(const std::string &Body, int &Status);
  nlohmann::json describe(const std::string &Table, std::uint64_t After,
                          bool WithRemoved) const;

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<row_name, row> Rows;
  std::uint64_t Version = 1;
  std::atomic<bool> IsDown{false};
  std::atomic<int> LastReader{-1};
  std::vector<std::unique_ptr<server>> Listeners;
};

/** An endpoint of a service. */
class endpoint {
public:
  struct terms {
    std::string Service;
    std::string Zone;
    std::string Ip;
    int Slots = 3;
    double ColdSeconds = 0; ///< after a start during traffic
  };
  /** What the endpoint does with a request. */
  struct action {
    int Status = 200;
    double WorkSeconds = 0.05;
    bool Crashes = false;
    std::string Body = "done";
  };
  using behavior = std::function<action(const http_message &)>;

  endpoint(store &Store, terms Terms, behavior Behavior)
      : Store(Store), Terms(std::move(Terms)), Behavior(std::move(Behavior)) {}
  ~endpoint();

  /** @param Id  the id of this lifetime
      @param IsDuringTraffic  it is cold then */
  bool start(const std::string &Id, bool IsDuringTraffic);
  /** Ends the process: connections are reset, nothing is written. */
  void crash();
  /** Removes its entry, and goes on serving. */
  void leave();
  const std::string &id() const { return Id; }

private:
  void serve(const std::shared_ptr<stream> &Stream);
  bool serveOne(const std::shared_ptr<stream> &Stream);
  void beat();
  void beatLoop();

  store &Store;
  terms Terms;
  behavior Behavior;
  std::string Id;
  int Port = 0;
  std::int64_t Born = 0;
  double ColdUntil = 0;
  int Sequence = 0;
  std::mutex Mutex;
  server Listener;
  std::atomic<bool> IsRunning{false};
  std::atomic<bool> IsLeaving{false};
  std::thread Beats;
};

/** One process of the project, started with the command of the deploy file. */
class vm {
public:
  struct terms {
    std::string Root;   ///< of the repository
    std::string Folder; ///< for settings and logs
    std::string Name;
    std::string Zone;
    std::string Region;
    std::string Ip;
    std::vector<std::string> Seeds;
    std::string StoreAddress;
    std::vector<std::pair<std::string, std::string>> Zones; ///< with regions
  };
  static constexpr int CallerPort = 8686;
  static constexpr int ReadinessPort = 8680;
  static constexpr int DirectoryPort = 8684;

  explicit vm(terms Terms) : Terms(std::move(Terms)) {}
  ~vm();

  bool start();
  void signal(int Number) const;
  /** @returns true when the process ended within the time */
  bool waitForEnd(double Seconds);
  bool isReady() const;
  bool waitUntilReady(double Seconds) const;
  const std::string &ip() const { return Terms.Ip; }
  const std::string &name() const { return Terms.Name; }

private:
  void writeSettings() const;

  terms Terms;
  pid_t Process = -1;
};

/** What a consumer got. */
struct outcome {
  int Status = 0; ///< 0: no whole answer
  std::string Stamp;
  std::string Body;
};

/** A small deployment: a machine in each zone, and the store. */
class fleet {
public:
  /** @param Manifest  the first one */
  explicit fleet(const nlohmann::json &Manifest);

  /** Starts all machines. @returns true when they are ready */
  bool start();
  /** @returns an address for a server: "NETWORK.LAST". */
  std::string ip(int Last) const {
    return Network + "." + std::to_string(Last);
  }

  std::string Network;
  store Store;
  std::vector<std::unique_ptr<vm>> Vms;
};

/** @returns a manifest with service "pedidos" in all zones, a route "/safe/"
    that may be repeated and a route "/order/" that may not, for host
    "jepu9.example" and key "key-hotel". */
nlohmann::json smallManifest();

/** Sends one request over a new connection. */
outcome request(const std::string &Ip, int Port, const std::string &Method,
                const std::string &Target,
                const std::vector<std::pair<std::string, std::string>> &Fields,
                const std::string &Body, double Seconds);

/** @returns a base such as "127.83.201" on which the ports of vm are free. */
std::string freeNetwork();
/** Makes a temporary folder that is removed at the end of the program. */
std::string temporaryFolder();
/** @returns true unless the variable TROUBLE is 0. */
bool isTroubleWanted();

} // namespace rig

#endif
