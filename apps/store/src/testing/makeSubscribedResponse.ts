/** The response to a subscription, for tests. */
import type { Configuration, EntryDigest, StoreResponse } from '@hornbeampond/schema';

export function makeSubscribedResponse(
  configuration: Configuration,
  digest: EntryDigest,
): StoreResponse {
  return {
    type: 'subscribed',
    configuration,
    quarantine: [],
    stores: [],
    remembered: { usage: [], delays: {}, computed: {} },
    digest,
  };
}
