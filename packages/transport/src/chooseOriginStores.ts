/**
 * Chooses the stores that keep where a stream began. All entries rank the stores in the same way, by
 * rendezvous hashing, so that the copies of one origin that several of them know meet in the same stores.
 */
import { createHash } from 'node:crypto';
import type { ProcessAddress, StreamOrigin } from '@hornbeampond/schema';

/** One copy is lost with its store or data centre. */
export const ORIGIN_COPIES = 2;

interface OriginStore {
  readonly address: Pick<ProcessAddress, 'instance' | 'dataCentre'>;
}

function rankOf({ address }: OriginStore, { requestId }: StreamOrigin): number {
  return createHash('sha256').update(`${address.instance}/${requestId}`).digest().readUInt32BE(0);
}

/** Returns the stores for an origin, of different data centres if possible. */
export function chooseOriginStores<Store extends OriginStore>(
  stores: readonly Store[],
  origin: StreamOrigin,
): readonly Store[] {
  const ranked = stores
    .map((store) => ({ store, rank: rankOf(store, origin) }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ store }) => store);
  const [first] = ranked;
  const elsewhere = ranked.filter(
    ({ address }) => address.dataCentre !== first?.address.dataCentre,
  );
  return [...new Set([...ranked.slice(0, 1), ...elsewhere, ...ranked])].slice(0, ORIGIN_COPIES);
}
