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

interface DraftSize {
  readonly listed: DataCentreState;
  readonly relativePrice: number;
  reclaimable: number;
  onDemand: number;
}

function sumBy(drafts: readonly DraftSize[], valueOf: (draft: DraftSize) => number): number {
  return drafts.reduce((sum, draft) => sum + valueOf(draft), 0);
}

function sortByPrice(drafts: readonly DraftSize[]): DraftSize[] {
  return [...drafts].sort((a, b) => a.relativePrice - b.relativePrice);
}

/** The place with fewest, the cheapest of several: an even spread bounds the largest loss. */
function findSmallest(
  drafts: readonly DraftSize[],
  countOf: (draft: DraftSize) => number,
): DraftSize | undefined {
  return sortByPrice(drafts).sort((a, b) => countOf(a) - countOf(b))[0];
}

/**
 * Waves after which the reclaimable instances are still enough, if none come back in between: where
 * they are cheap, another of them costs a fraction of the on-demand one that it makes good.
 */
const WAVES_COVERED_WHILE_CHEAP = 2;
const WAVES_COVERED = 1;

/** Of the price of an on-demand instance. */
const MAX_CHEAP_FRACTION_OF_ON_DEMAND_PRICE = 0.5;

/** Where few data centres give any now, nothing would be left after the waves, however many are held. */
const MAX_RECLAIMABLE_MULTIPLE_OF_NEED = 3;

/** Instances of the data centres that have most of them. */
function countInLargestDataCentres(counts: readonly number[], waves: number): number {
  return [...counts]
    .sort((a, b) => b - a)
    .slice(0, waves)
    .reduce((sum, count) => sum + count, 0);
}

function isReclaimableEnough(
  drafts: readonly DraftSize[],
  need: InstanceNeed,
  reclaimablePriceFraction: number,
): boolean {
  const counts = drafts.map(({ reclaimable }) => reclaimable);
  const total = sumBy(drafts, (draft) => draft.reclaimable);
  if (total < need.normal) return false;
  const countRemainingAfter = (waves: number) => total - countInLargestDataCentres(counts, waves);
  if (countRemainingAfter(WAVES_COVERED) < need.afterLoss) return false;
  if (
    reclaimablePriceFraction > MAX_CHEAP_FRACTION_OF_ON_DEMAND_PRICE ||
    total >= MAX_RECLAIMABLE_MULTIPLE_OF_NEED * need.afterLoss
  )
    return true;
  const waves = Math.min(WAVES_COVERED_WHILE_CHEAP, Math.floor(drafts.length / 2));
  return countRemainingAfter(waves) >= need.afterLoss;
}

/** A place without more to give counts with what it has: an order for fewer would end those. */
function spreadReclaimable(
  drafts: readonly DraftSize[],
  { sizing, needs: { longWindow: need } }: SizeRequest,
): void {
  const reclaimablePriceFraction = sizing.reclaimableShare ?? 1;
  drafts.forEach((draft) => {
    const { isClosed, reclaimable } = draft.listed;
    draft.reclaimable = isClosed ? reclaimable : Math.min(sizing.least, sizing.most);
  });
  while (!isReclaimableEnough(drafts, need, reclaimablePriceFraction)) {
    const expandable = drafts.filter(
      ({ listed, reclaimable }) => !listed.isClosed && reclaimable < sizing.most,
    );
    const next = findSmallest(expandable, (draft) => draft.reclaimable);
    if (next === undefined) return;
    next.reclaimable += 1;
  }
}

/**
 * Further waves that the on-demand instances have to make up for: the next one, since what is ordered
 * after it comes too late for it. While the platform has none to give, as many as came within the time
 * of two starts.
 */
function countWavesToCover(drafts: readonly DraftSize[], recentWaveCount: number): number {
  const isAnyClosed = drafts.some(({ listed }) => listed.isClosed);
  return isAnyClosed ? Math.max(1, recentWaveCount) : 1;
}

/** What the reclaimable instances that serve now would lack after the waves that may follow. */
function countRequiredOnDemand(
  drafts: readonly DraftSize[],
  { sizing, needs: { shortWindow: need }, recentWaveCount = 0 }: SizeRequest,
): number {
  if (sizing.reclaimableShare === undefined) return Math.max(need.normal, need.afterLoss);
  const servingCount = sumBy(drafts, ({ listed }) => listed.reclaimable);
  const countsByDataCentre = drafts.map(({ listed }) => listed.reclaimable);
  const countAtRisk = countInLargestDataCentres(
    countsByDataCentre,
    countWavesToCover(drafts, recentWaveCount),
  );
  return Math.max(0, need.afterLoss - (servingCount - countAtRisk));
}

/** Starts from the last plan; adds where instances are there already, then where they are cheap. */
function planOnDemand(drafts: readonly DraftSize[], request: SizeRequest): void {
  const { sizing } = request;
  const requiredOnDemand = countRequiredOnDemand(drafts, request);
  drafts.forEach((draft) => {
    draft.onDemand = Math.min(draft.listed.orderedOnDemand, sizing.most);
  });
  const countOnDemand = () => sumBy(drafts, (draft) => draft.onDemand);
  while (countOnDemand() > requiredOnDemand) {
    const mostExpensive = sortByPrice(drafts.filter(({ onDemand }) => onDemand > 0)).at(-1);
    if (mostExpensive === undefined) return;
    mostExpensive.onDemand -= 1;
  }
  while (countOnDemand() < requiredOnDemand) {
    const countInstances = ({ listed, onDemand }: DraftSize) => listed.reclaimable + onDemand;
    const expandable = drafts.filter((draft) => countInstances(draft) < sizing.most);
    const withUnplannedInstances = expandable.filter(
      ({ listed, onDemand }) => onDemand < listed.onDemand,
    );
    const next = sortByPrice(withUnplannedInstances)[0] ?? findSmallest(expandable, countInstances);
    if (next === undefined) return;
    next.onDemand += 1;
  }
}

/** The platform bounds both kinds together. */
function enforceBounds(drafts: readonly DraftSize[], { sizing }: SizeRequest): void {
  drafts.forEach((draft) => {
    const minOnDemand = sizing.least - draft.reclaimable;
    draft.onDemand = Math.max(draft.onDemand, minOnDemand);
    draft.reclaimable = Math.min(draft.reclaimable, sizing.most - draft.onDemand);
  });
}

export function planSizes(request: SizeRequest): DataCentreSize[] {
  const { sizing, dataCentres } = request;
  const drafts = dataCentres.map((listed) => ({
    listed,
    relativePrice: sizing.prices[listed.dataCentre] ?? 1,
    reclaimable: 0,
    onDemand: 0,
  }));
  if (sizing.reclaimableShare !== undefined) spreadReclaimable(drafts, request);
  planOnDemand(drafts, request);
  enforceBounds(drafts, request);
  return drafts.map(({ listed, reclaimable, onDemand }) => ({
    dataCentre: listed.dataCentre,
    reclaimable,
    onDemand,
  }));
}
