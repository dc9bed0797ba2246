/** How long the spending of an entry is on its way to the other entries. */
import type { Milliseconds } from '@hornbeampond/schema';

/**
 * Time from the first store's acknowledgement until the digests of all stores have arrived: a store
 * collects reports for up to 50 ms before it sends a digest. Spending counts as acknowledged only
 * after it. Otherwise entries could spend their quotas several times before they know of each other.
 */
export const SPENDING_DELIVERY_MILLISECONDS: Milliseconds = 75;
