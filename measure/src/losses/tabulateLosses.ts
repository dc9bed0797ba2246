/** Groups what requests lost by a criterion, and counts them by outcome and reason. */
import { outcomes, type Outcome, type RequestTrace } from './traceRequests.js';

export type LossCriterion = 'reason' | 'route' | 'workspace' | 'size' | 'second';

export interface LossRow {
  readonly group: string;
  readonly all: number;
  readonly counts: Readonly<Record<Outcome, number>>;
}

function groupBy(
  traces: readonly RequestTrace[],
  nameGroup: (trace: RequestTrace) => string,
): Map<string, RequestTrace[]> {
  const groups = new Map<string, RequestTrace[]>();
  traces.forEach((trace) => {
    const name = nameGroup(trace);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [trace]);
    else group.push(trace);
  });
  return groups;
}

/** Sizes are told by where a request stands among those of its route. */
const LARGEST_SHARE = 0.1;
const LARGE_SHARE = 0.3;

function sizeClasses(traces: readonly RequestTrace[]): Map<string, string> {
  const classes = new Map<string, string>();
  groupBy(traces, ({ route }) => route).forEach((same) => {
    const bySize = same.toSorted((a, b) => b.tokens - a.tokens);
    bySize.forEach(({ requestId }, rank) => {
      const share = rank / bySize.length;
      if (share < LARGEST_SHARE) classes.set(requestId, 'largest tenth');
      else classes.set(requestId, share < LARGE_SHARE ? 'next fifth' : 'others');
    });
  });
  return classes;
}

function makeGrouping(
  criterion: LossCriterion,
  traces: readonly RequestTrace[],
): (trace: RequestTrace) => string {
  switch (criterion) {
    case 'reason':
      return ({ outcome, reason }) => (reason === '' ? outcome : `${outcome}: ${reason}`);
    case 'route':
      return ({ route }) => route;
    case 'workspace':
      return ({ workspace }) => workspace;
    case 'second': {
      const firstAt = traces.reduce((least, { arrivedAt }) => Math.min(least, arrivedAt), Infinity);
      return ({ arrivedAt }) => String(Math.floor((arrivedAt - firstAt) / 1000)).padStart(4);
    }
    default: {
      const classes = sizeClasses(traces);
      return ({ requestId }) => classes.get(requestId) ?? 'others';
    }
  }
}

function countOutcomes(traces: readonly RequestTrace[]): Record<Outcome, number> {
  const count = (wanted: Outcome) => traces.filter(({ outcome }) => outcome === wanted).length;
  return Object.fromEntries(outcomes.map((outcome) => [outcome, count(outcome)])) as Record<
    Outcome,
    number
  >;
}

/** Rows by what they lost, most first; seconds in their order. */
export function tabulateLosses(
  traces: readonly RequestTrace[],
  criterion: LossCriterion,
): LossRow[] {
  const groups = groupBy(traces, makeGrouping(criterion, traces));
  const rows = [...groups].map(([group, members]) => ({
    group,
    all: members.length,
    counts: countOutcomes(members),
  }));
  const lost = ({ all, counts }: LossRow) => all - counts.inTime;
  if (criterion === 'second') return rows.sort((a, b) => a.group.localeCompare(b.group));
  return rows.sort((a, b) => lost(b) - lost(a) || a.group.localeCompare(b.group));
}
