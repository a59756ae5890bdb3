#include "command_line/blocking.h"
#include "command_line/command.h"
#include "command_line/document_approval.h"
#include "sesamepaddle/documents/documents.h"
#include "sesamepaddle/net/http_client.h"
#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/platform/failures.h"
#include "sesamepaddle/platform/http_platform.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <sys/stat.h>

#include <fstream>
#include <iostream>

namespace sesamepaddle {

namespace {

// For each call to the platform.
constexpr std::chrono::milliseconds PlatformTimeout{5'000};

const option_description PlatformOption = {
    "platform", "ADDRESS", "the platform, an IP address and a port"};
const option_description ServiceOption = {"service", "NAME", "the service"};
const option_description OwnerOption = {"owner", "NAME", "the owner who signs"};
const option_description KeyOption = {"key", "FILE",
                                      "the owner's private key in PEM form"};

absl::StatusOr<platform_client> connectPlatform(const option_values &Values) {
  const auto Address = parseEndpoint(Values.at("platform"));
  if (!Address.ok())
    return Address.status();
  return makeHttpPlatform(std::make_shared<http_client>(), *Address,
                          PlatformTimeout);
}

/** Reads the owner and the private key from the options. */
absl::StatusOr<owner_credentials> readCredentials(const option_values &Values) {
  auto Key = readFile(Values.at("key"));
  if (!Key)
    return makeFailure(document_failure::InvalidKey,
                       "the key file can't be read");
  return owner_credentials{owner_name(Values.at("owner")), *std::move(Key)};
}

exit_code propose(const option_values &Values) {
  const std::string &Path = Values.at("file");
  const auto Text = readFile(Path);
  if (!Text)
    return exit_code::InvalidInput;
  yaml_errors Errors;
  auto Document = parseServiceDocument(*Text, Path, Errors);
  for (const auto &Error : Errors)
    std::cerr << Error.describe() << "\n";
  if (!Document)
    return exit_code::InvalidInput;
  auto Platform = connectPlatform(Values);
  if (!Platform.ok())
    return reportFailure(Platform.status());
  auto Credentials = readCredentials(Values);
  if (!Credentials.ok())
    return reportFailure(Credentials.status());
  const auto Proposed = runBlocking(proposeDocument(
      *std::move(Platform), *std::move(Document), *Text,
      *std::move(Credentials), optionOr(Values, "replace", "")));
  if (!Proposed.ok())
    return reportFailure(Proposed.status());
  std::cout << "proposed document " << Proposed->Number << " of "
            << Proposed->Service << ", hash " << Proposed->Hash << "\n";
  return exit_code::Success;
}

exit_code signCommand(const option_values &Values) {
  auto Platform = connectPlatform(Values);
  if (!Platform.ok())
    return reportFailure(Platform.status());
  auto Credentials = readCredentials(Values);
  if (!Credentials.ok())
    return reportFailure(Credentials.status());
  const auto Signed = runBlocking(
      signProposal(*std::move(Platform), service_name(Values.at("service")),
                   *std::move(Credentials), optionOr(Values, "hash", "")));
  if (!Signed.ok())
    return reportFailure(Signed.status());
  std::cout << "document " << Signed->Number << " of " << Signed->Service
            << " is signed and in force, hash " << Signed->Hash << "\n";
  return exit_code::Success;
}

/** Prints number, hash, signers and text of a row's document. */
void printRow(std::string_view Title, const std::optional<table_row> &Row) {
  if (!Row) {
    std::cout << Title << ": none\n";
    return;
  }
  const auto Envelope = parseEnvelope(Row->Value);
  if (!Envelope.ok()) {
    std::cout << Title << ": " << Envelope.status().message() << "\n";
    return;
  }
  std::cout << Title << ": document " << Envelope->Number << ", hash "
            << toHex(sha256(Envelope->Text)) << ", signed by";
  for (const auto &Signature : Envelope->Signatures)
    std::cout << " " << Signature.Owner;
  std::cout << "\n" << Envelope->Text;
}

exit_code show(const option_values &Values) {
  auto Platform = connectPlatform(Values);
  if (!Platform.ok())
    return reportFailure(Platform.status());
  const auto Rows = runBlocking(
      readRows(std::move(*Platform), service_name(Values.at("service"))));
  if (!Rows.ok())
    return reportFailure(Rows.status());
  printRow("in force", Rows->InForce);
  printRow("proposed", Rows->Proposal);
  return exit_code::Success;
}

/** Requests the status of a VM.
    @returns the number of the service's document on the VM, 0 without one, or
    nothing when the VM does not reply with JSON. */
awaitable<std::optional<document_number>> readNumberOnVm(listed_vm Vm,
                                                         std::string Service) {
  const auto Address = parseEndpoint(Vm.ControlAddress);
  if (!Address.ok())
    co_return std::nullopt;
  http_client Client;
  http_request Request;
  Request.Target = "/status";
  http_call_options Options;
  Options.Timeout = std::chrono::milliseconds(1'000);
  const auto Reply = co_await Client.call(*Address, Request, Options);
  if (!Reply.ok() || Reply->Status != 200)
    co_return std::nullopt;
  const auto Status = nlohmann::json::parse(Reply->Body, nullptr, false);
  if (Status.is_discarded())
    co_return std::nullopt;
  for (const auto &Document : Status["documents"])
    if (Document["service"] == Service)
      co_return Document["number"].get<document_number>();
  co_return document_number{0};
}

/** Prints on how many VMs of each failure domain the document is in force. */
awaitable<absl::Status> printRolloutStatus(platform_client Platform,
                                           option_values Values) {
  const service_name Service(Values.at("service"));
  const auto Rows = co_await readRows(Platform, Service);
  if (!Rows.ok())
    co_return Rows.status();
  const auto Number = numberInForce(*Rows);
  if (!Number.ok())
    co_return Number.status();
  const auto Vms = co_await Platform.ListVms();
  if (!Vms.ok())
    co_return Vms.status();
  std::cout << "document " << *Number << " of " << Service << "\n";
  struct domain_count {
    int InForce = 0;
    int NotYet = 0;
    int Unknown = 0;
  };
  std::map<failure_domain_name, domain_count> Domains;
  for (const auto &Vm : *Vms) {
    const auto Seen = co_await readNumberOnVm(Vm, Service.str());
    auto &Count = Domains[Vm.FailureDomain];
    if (!Seen)
      ++Count.Unknown;
    else
      ++(*Seen >= *Number ? Count.InForce : Count.NotYet);
  }
  for (const auto &[Domain, Count] : Domains)
    std::cout << Domain << ": in force on " << Count.InForce << ", not yet on "
              << Count.NotYet << ", unknown on " << Count.Unknown << "\n";
  co_return absl::OkStatus();
}

exit_code status(const option_values &Values) {
  auto Platform = connectPlatform(Values);
  if (!Platform.ok())
    return reportFailure(Platform.status());
  const auto Status =
      runBlocking(printRolloutStatus(std::move(*Platform), Values));
  return Status.ok() ? exit_code::Success : reportFailure(Status);
}

exit_code makeKey(const option_values &Values) {
  const signing_key_pair Pair = makeSigningKeyPair();
  const std::string &Path = Values.at("out");
  const mode_t OldMask = ::umask(S_IRWXG | S_IRWXO);
  std::ofstream File(Path);
  ::umask(OldMask);
  File << Pair.PrivateKeyPem;
  File.close();
  if (!File) {
    std::cerr << "sesamepaddle: can't write " << Path << "\n";
    return exit_code::Failure;
  }
  std::cout << absl::Base64Escape(Pair.PublicKey) << "\n";
  return exit_code::Success;
}

} // namespace

std::vector<command> makeDocumentCommands() {
  return {
      {"document key",
       "make an owner's key pair",
       "Generates an Ed25519 key pair, writes the private key to a file that "
       "only "
       "its\nowner can read, and prints the public key for the document.\n",
       {{"out", "FILE", "file to write the private key to"}},
       makeKey},
      {"document propose",
       "propose a new document and sign it",
       "Checks a document, signs it as one owner and stores it as the "
       "proposal for\nanother owner to sign. Exits with 4 when the document "
       "was "
       "changed meanwhile, or\nwhen another proposal is open that would be "
       "lost.\n",
       {{"file", "FILE", "the document in YAML"},
        OwnerOption,
        KeyOption,
        PlatformOption,
        {"replace", "HEX", "replace the open proposal with this hash", false}},
       propose},
      {"document sign",
       "sign the proposal of another owner",
       "Adds a second owner's signature; the document is then in force. Exits "
       "with 4\nwhen the proposal was changed meanwhile; check it again with "
       "document show.\n",
       {ServiceOption,
        OwnerOption,
        KeyOption,
        PlatformOption,
        {"hash", "HEX", "sign only the content with this hash", false}},
       signCommand},
      {"document show",
       "show the document in force and the proposal",
       "Prints number, hash, signers and text of both.\n",
       {ServiceOption, PlatformOption},
       show},
      {"document status",
       "show where a document is in force",
       "Queries every VM in the platform's list. Prints for each failure "
       "domain on how many\nVMs the newest document is in force, is not yet in "
       "force, or is unknown.\n",
       {ServiceOption, PlatformOption},
       status},
  };
}

} // namespace sesamepaddle
