/// Module documents: the document of a service, its two signatures and the
/// rules by which one replaces another.
///
/// Uses core and settings. Knows no socket; the rows that hold documents are
/// read and written by others.
#ifndef SESAMEPADDLE_DOCUMENTS_DOCUMENTS_H
#define SESAMEPADDLE_DOCUMENTS_DOCUMENTS_H

#include "sesamepaddle/documents/document_envelope.h"
#include "sesamepaddle/documents/document_replicator.h"
#include "sesamepaddle/documents/failures.h"
#include "sesamepaddle/documents/owner_authority.h"
#include "sesamepaddle/documents/service_document.h"
#include "sesamepaddle/documents/signing.h"

#endif
