#include "Store/storeclient.h"

namespace eelgrasscove {

void StoreClient::call(wire::StoreCall call, Duration timeout,
                       HttpCaller::ResponseHandler onResponse)
{
    client_.call(std::move(call.method_), std::move(call.target_), std::move(call.body_), timeout,
                 [this, changes = era_.changes(), drops = drops_,
                  onResponse = std::move(onResponse)](std::optional<HttpResponse> response) {
                     if (response
                         && era_.observe(wire::decodeStoreEra(response->head_), changes)
                             == StoreEraEvidence::Late)
                         response.reset();
                     // A subscriber of the era may have dropped this call.
                     if (drops == drops_)
                         onResponse(std::move(response));
                 });
}

void StoreClient::dropCalls()
{
    ++drops_;
    client_.dropCalls();
}

} // namespace eelgrasscove
