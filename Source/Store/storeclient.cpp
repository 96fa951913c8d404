#include "Store/storeclient.h"

namespace eelgrasscove {

void StoreClient::call(wire::StoreCall call, Duration timeout,
                       HttpCaller::ResponseHandler onResponse)
{
    client_.call(std::move(call.method_), std::move(call.target_), std::move(call.body_), timeout,
                 [this, changes = era_.changes(),
                  onResponse = std::move(onResponse)](std::optional<HttpResponse> response) {
                     if (response)
                         era_.observe(wire::decodeStoreEra(response->head_), changes);
                     onResponse(std::move(response));
                 });
}

} // namespace eelgrasscove
