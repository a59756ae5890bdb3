/// Module documents: the document that configures a service, the signatures of
/// its owners, the rules for replacing it, and its replication between VMs.
///
/// Uses core and settings. Opens no sockets; callers read and write the
/// platform's rows and deliver the messages between VMs.
#ifndef SESAMEPADDLE_DOCUMENTS_DOCUMENTS_H
#define SESAMEPADDLE_DOCUMENTS_DOCUMENTS_H

#include "sesamepaddle/documents/document_envelope.h"
#include "sesamepaddle/documents/document_replicator.h"
#include "sesamepaddle/documents/failures.h"
#include "sesamepaddle/documents/owner_authority.h"
#include "sesamepaddle/documents/service_document.h"
#include "sesamepaddle/documents/signing.h"

#endif
