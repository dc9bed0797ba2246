/**
 * Plans how many reclaimable and on-demand instances of a pool each data centre has, for platforms
 * that accept a target count instead of single purchases.
 *
 * Reclaimable instances are cheap, but a reclaim wave takes all of those in one data centre. They
 * are spread evenly, and enough are planned to cover the need after one such loss, or after two
 * where they are cheap. On-demand instances cover what the listed reclaimable ones would lack after
 * the next wave. They stay where they were ordered as far as possible: a move to another data
 * centre costs a start and interrupts the answers on the old instance.
 */
import type { PoolSizing } from '@hornbeampond/schema';

/** Number of instances that a plan must provide. */
export interface InstanceNeed {
  /** While no instance is lost. */
  readonly normal: number;
  /** Right after the loss of one data centre's reclaimable instances. */
  readonly afterLoss: number;
}

/** The highest need over two history windows, so that planned capacity falls only after a delay. */
export interface NeedWindows {
  /** For reclaimable instances. */
  readonly longWindow: InstanceNeed;
  /** For on-demand instances, which are more expensive and therefore removed earlier. */
  readonly shortWindow: InstanceNeed;
}

/** Live instances that the platform lists in one data centre, and what was ordered there. */
export interface DataCentreState {
  readonly dataCentre: string;
  readonly reclaimable: number;
  readonly onDemand: number;
  /** True while the platform is assumed to have no more reclaimable instances there. */
  readonly isClosed: boolean;
  /** On-demand instances of the last accepted order; the listed ones if there was none. */
  readonly orderedOnDemand: number;
}

export interface SizeRequest {
  readonly sizing: PoolSizing;
  readonly needWindows: NeedWindows;
  readonly dataCentres: readonly DataCentreState[];
  /** Number of waves within the last two start durations. */
  readonly recentWaveCount?: number;
}

/** Planned number of instances in one data centre. */
export interface DataCentreSize {
  readonly dataCentre: string;
  readonly reclaimable: number;
  readonly onDemand: number;
}

/** The plan for one data centre while it is being made. */
interface DraftSize {
  readonly listed: DataCentreState;
  readonly onDemandPrice: number;
  reclaimable: number;
  onDemand: number;
}

function sumBy(drafts: readonly DraftSize[], valueOf: (draft: DraftSize) => number): number {
  return drafts.reduce((sum, draft) => sum + valueOf(draft), 0);
}

function sortByPrice(drafts: readonly DraftSize[]): DraftSize[] {
  return [...drafts].sort((a, b) => a.onDemandPrice - b.onDemandPrice);
}

/**
 * Returns the data centre with the lowest count, and the cheapest of several: an even spread limits
 * the largest loss.
 */
function findSmallest(
  drafts: readonly DraftSize[],
  countOf: (draft: DraftSize) => number,
): DraftSize | undefined {
  return sortByPrice(drafts).sort((a, b) => countOf(a) - countOf(b))[0];
}

/**
 * Number of waves in a row after which the remaining reclaimable instances must still cover the
 * need. While they are cheap, covering a second wave costs less than on-demand replacements would.
 */
const WAVES_COVERED_WHILE_CHEAP = 2;
const WAVES_COVERED = 1;

/** Reclaimable instances are cheap up to this fraction of the on-demand price. */
const MAX_CHEAP_FRACTION_OF_ON_DEMAND_PRICE = 0.5;

/**
 * Limits what is planned for a second wave to this multiple of the need after a loss. If only few
 * data centres are open, no number of instances would be enough.
 */
const MAX_RECLAIMABLE_MULTIPLE_OF_NEED = 3;

/** Returns the instances in the data centres with the highest counts, one data centre per wave. */
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

/**
 * Adds reclaimable instances evenly until they are enough. A closed data centre keeps its listed
 * count: an order for fewer would end instances that serve.
 */
function spreadReclaimable(
  drafts: readonly DraftSize[],
  { sizing, needWindows: { longWindow: need } }: SizeRequest,
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
 * Returns how many further waves the on-demand instances must cover: the next one, since an order
 * sent after it would be too late, and as many as occurred recently while any data centre is
 * closed.
 */
function countWavesToCover(drafts: readonly DraftSize[], recentWaveCount: number): number {
  const isAnyClosed = drafts.some(({ listed }) => listed.isClosed);
  return isAnyClosed ? Math.max(1, recentWaveCount) : 1;
}

/**
 * Returns the on-demand instances needed in addition to the listed reclaimable ones, after the
 * waves to cover. Without reclaimable instances they cover the whole need.
 */
function countRequiredOnDemand(
  drafts: readonly DraftSize[],
  { sizing, needWindows: { shortWindow: need }, recentWaveCount = 0 }: SizeRequest,
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

/**
 * Changes the last accepted on-demand counts as little as possible. Surplus is removed where it is
 * most expensive. Instances are added first where listed on-demand instances are not yet part of
 * the plan, then in the data centre with the fewest instances.
 */
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

/** Keeps the sum of both kinds within the limits of a data centre. */
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
    onDemandPrice: sizing.prices[listed.dataCentre] ?? 1,
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
