/**
 * Plans how many instances of a pool each data centre has, reclaimable and on-demand, where the
 * platform is told numbers rather than sells single instances.
 *
 * Reclaimable ones cost a fraction, and a wave takes all of one data centre at a time. So they are
 * spread evenly, as many as leave enough to go on with after one such loss, or after two
 * where they are cheap. On-demand ones are
 * held for what the reclaimable ones that serve now lack of that: while some start, and after a
 * wave for as long as no more are to be had.
 *
 * A plan changes as little as it can: what was planned last is where it starts. Instances that are
 * moved between data centres would each cost a start and the answers that run on the old one.
 */
import type { PoolSizing } from '@hornbeampond/schema';

/** What the plan has to be enough for, in instances. */
export interface InstanceNeed {
  /** With all there. */
  readonly normal: number;
  /** Just after the reclaimable instances of one data centre are gone. */
  readonly afterLoss: number;
}

/** The need over two spans: capacity follows a rise at once and a fall late. */
export interface NeedWindows {
  /** Over the span for which cheap instances are kept. */
  readonly longWindow: InstanceNeed;
  /** Over the shorter one for which on-demand instances are. */
  readonly shortWindow: InstanceNeed;
}

/** One data centre: what the platform lists there, without what leaves, and what was planned. */
export interface DataCentreState {
  readonly dataCentre: string;
  readonly reclaimable: number;
  readonly onDemand: number;
  /** True while the platform has no reclaimable instances to give there. */
  readonly isClosed: boolean;
  /** On-demand instances of the last plan. */
  readonly orderedOnDemand: number;
}

export interface SizeRequest {
  readonly sizing: PoolSizing;
  readonly needs: NeedWindows;
  readonly dataCentres: readonly DataCentreState[];
  /** Waves that have taken reclaimable instances within the last two starts. */
  readonly recentWaveCount?: number;
}

/** What is to be ordered for one data centre. */
export interface DataCentreSize {
  readonly dataCentre: string;
  readonly reclaimable: number;
  readonly onDemand: number;
}

interface Draft {
  readonly place: DataCentreState;
  readonly price: number;
  reclaimable: number;
  onDemand: number;
}

function sumOf(drafts: readonly Draft[], pick: (draft: Draft) => number): number {
  return drafts.reduce((sum, draft) => sum + pick(draft), 0);
}

function byPrice(drafts: readonly Draft[]): Draft[] {
  return [...drafts].sort((a, b) => a.price - b.price);
}

/** The place with fewest, the cheapest of several: an even spread bounds the largest loss. */
function emptiest(drafts: readonly Draft[], pick: (draft: Draft) => number): Draft | undefined {
  return byPrice(drafts).sort((a, b) => pick(a) - pick(b))[0];
}

/**
 * Waves after which the reclaimable instances are still enough, if none come back in between: where
 * they are cheap, another of them costs a fraction of the on-demand one that it makes good.
 */
const WAVES_HELD_FOR_WHILE_CHEAP = 2;
const WAVES_HELD_FOR = 1;

/** Of the price of an on-demand instance. */
const CHEAP_SHARE = 0.5;

/** Where few data centres give any now, nothing would be left after the waves, however many are held. */
const MOST_HELD_OF_NEED = 3;

/** Instances of the data centres that have most of them. */
function countLargest(counts: readonly number[], waves: number): number {
  return [...counts]
    .sort((a, b) => b - a)
    .slice(0, waves)
    .reduce((sum, count) => sum + count, 0);
}

function isEnough(drafts: readonly Draft[], need: InstanceNeed, price: number): boolean {
  const counts = drafts.map(({ reclaimable }) => reclaimable);
  const total = sumOf(drafts, (draft) => draft.reclaimable);
  if (total < need.normal) return false;
  const left = (waves: number) => total - countLargest(counts, waves);
  if (left(WAVES_HELD_FOR) < need.afterLoss) return false;
  if (price > CHEAP_SHARE || total >= MOST_HELD_OF_NEED * need.afterLoss) return true;
  const waves = Math.min(WAVES_HELD_FOR_WHILE_CHEAP, Math.floor(drafts.length / 2));
  return left(waves) >= need.afterLoss;
}

/** A place without more to give counts with what it has: an order for fewer would end those. */
function spreadReclaimable(
  drafts: readonly Draft[],
  { sizing, needs: { longWindow: need } }: SizeRequest,
): void {
  const price = sizing.reclaimableShare ?? 1;
  drafts.forEach((draft) => {
    const { isClosed, reclaimable } = draft.place;
    draft.reclaimable = isClosed ? reclaimable : Math.min(sizing.least, sizing.most);
  });
  while (!isEnough(drafts, need, price)) {
    const open = drafts.filter(
      ({ place, reclaimable }) => !place.isClosed && reclaimable < sizing.most,
    );
    const next = emptiest(open, (draft) => draft.reclaimable);
    if (next === undefined) return;
    next.reclaimable += 1;
  }
}

/**
 * Further waves that the on-demand instances have to make up for: the next one, since what is ordered
 * after it comes too late for it. While the platform has none to give, as many as came within the time
 * of two starts.
 */
function countWavesAhead(drafts: readonly Draft[], wavesLately: number): number {
  const isShort = drafts.some(({ place }) => place.isClosed);
  return isShort ? Math.max(1, wavesLately) : 1;
}

/** What the reclaimable instances that serve now would lack after the waves that may follow. */
function countLacking(
  drafts: readonly Draft[],
  { sizing, needs: { shortWindow: need }, recentWaveCount: wavesLately = 0 }: SizeRequest,
): number {
  if (sizing.reclaimableShare === undefined) return Math.max(need.normal, need.afterLoss);
  const serving = sumOf(drafts, ({ place }) => place.reclaimable);
  const counts = drafts.map(({ place }) => place.reclaimable);
  const atRisk = countLargest(counts, countWavesAhead(drafts, wavesLately));
  return Math.max(0, need.afterLoss - (serving - atRisk));
}

/** Starts from the last plan; adds where instances are there already, then where they are cheap. */
function fillOnDemand(drafts: readonly Draft[], request: SizeRequest): void {
  const { sizing } = request;
  const lacking = countLacking(drafts, request);
  drafts.forEach((draft) => {
    draft.onDemand = Math.min(draft.place.orderedOnDemand, sizing.most);
  });
  const total = () => sumOf(drafts, (draft) => draft.onDemand);
  while (total() > lacking) {
    const dearest = byPrice(drafts.filter(({ onDemand }) => onDemand > 0)).at(-1);
    if (dearest === undefined) return;
    dearest.onDemand -= 1;
  }
  while (total() < lacking) {
    const serving = ({ place, onDemand }: Draft) => place.reclaimable + onDemand;
    const open = drafts.filter((draft) => serving(draft) < sizing.most);
    const there = open.filter(({ place, onDemand }) => onDemand < place.onDemand);
    const next = byPrice(there)[0] ?? emptiest(open, serving);
    if (next === undefined) return;
    next.onDemand += 1;
  }
}

/** The platform bounds both kinds together. */
function keepBounds(drafts: readonly Draft[], { sizing }: SizeRequest): void {
  drafts.forEach((draft) => {
    const least = sizing.least - draft.reclaimable;
    draft.onDemand = Math.max(draft.onDemand, least);
    draft.reclaimable = Math.min(draft.reclaimable, sizing.most - draft.onDemand);
  });
}

export function planSizes(request: SizeRequest): DataCentreSize[] {
  const { sizing, dataCentres: places } = request;
  const drafts = places.map((place) => ({
    place,
    price: sizing.prices[place.dataCentre] ?? 1,
    reclaimable: 0,
    onDemand: 0,
  }));
  if (sizing.reclaimableShare !== undefined) spreadReclaimable(drafts, request);
  fillOnDemand(drafts, request);
  keepBounds(drafts, request);
  return drafts.map(({ place, reclaimable, onDemand }) => ({
    dataCentre: place.dataCentre,
    reclaimable,
    onDemand,
  }));
}
