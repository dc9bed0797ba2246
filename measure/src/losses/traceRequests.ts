/**
 * What became of each request, by its log lines, and why: refused, failed, late by its first token or
 * by a pause, or in time. Of a late one the reason is the longest part of its way.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import type { RequestLine } from './readDayLog.js';

export const outcomes = ['inTime', 'late', 'refused', 'failed', 'unfinished'] as const;
export type Outcome = (typeof outcomes)[number];

export interface RequestTrace {
  readonly requestId: string;
  readonly route: string;
  readonly workspace: string;
  readonly tokens: number;
  /** Milliseconds since 1970. */
  readonly arrivedAt: number;
  readonly outcome: Outcome;
  /** Empty for a request in time. */
  readonly reason: string;
}

interface Way {
  readonly requestId: string;
  readonly lines: RequestLine[];
}

function lastOf({ lines }: Way, event: string): RequestLine | undefined {
  return lines.findLast((line) => line.event === event);
}

function numberOf(line: RequestLine | undefined, field: string): number | undefined {
  const value = line?.fields[field];
  return typeof value === 'number' ? value : undefined;
}

function textOf(way: Way, field: string): string {
  const found = way.lines.map(({ fields }) => fields[field]).find((it) => typeof it === 'string');
  return found ?? '';
}

/** The longest part of the way to a late first token. */
function reasonOfLateness(way: Way, firstTokenIn: Milliseconds): string {
  const [first] = way.lines;
  const sent = lastOf(way, 'attemptStarted');
  if (first === undefined || sent === undefined) return 'unknown';
  const sentAfter = sent.at - first.at;
  if (firstTokenIn - sentAfter >= sentAfter) return 'waited at the backend server';
  if (lastOf(way, 'requestAwaitsConfiguration') !== undefined) return 'awaited configuration';
  if (lastOf(way, 'attemptFailed') !== undefined) return 'an attempt had failed';
  return 'waited for a backend server';
}

function judgeFinished(
  way: Way,
  finished: RequestLine,
  mostPause: Milliseconds,
): Pick<RequestTrace, 'outcome' | 'reason'> {
  const firstTokenIn = numberOf(finished, 'firstTokenIn') ?? 0;
  const dueIn = numberOf(finished, 'firstTokenDueIn') ?? Number.POSITIVE_INFINITY;
  if (firstTokenIn > dueIn) {
    return { outcome: 'late', reason: reasonOfLateness(way, firstTokenIn) };
  }
  if ((numberOf(finished, 'longestPause') ?? 0) > mostPause) {
    return { outcome: 'late', reason: 'paused in the middle' };
  }
  return { outcome: 'inTime', reason: '' };
}

function judge(way: Way, mostPause: Milliseconds): Pick<RequestTrace, 'outcome' | 'reason'> {
  const refused = lastOf(way, 'requestRefused');
  if (refused !== undefined) return { outcome: 'refused', reason: textOf(way, 'kind') };
  const failed = lastOf(way, 'requestFailed');
  if (failed !== undefined) return { outcome: 'failed', reason: textOf(way, 'kind') };
  const finished = lastOf(way, 'requestFinished');
  if (finished !== undefined) return judgeFinished(way, finished, mostPause);
  const gone = lastOf(way, 'callerGone');
  return { outcome: 'unfinished', reason: gone === undefined ? 'no last line' : 'caller gone' };
}

/** @param mostPause - Pauses between two pieces of an answer above this make it late. */
export function traceRequests(
  lines: readonly RequestLine[],
  mostPause: Milliseconds,
): RequestTrace[] {
  const ways = new Map<string, Way>();
  lines.forEach((line) => {
    const { requestId } = line;
    const way = ways.get(requestId) ?? { requestId, lines: [] };
    way.lines.push(line);
    ways.set(requestId, way);
  });
  return [...ways.values()].map((way) => {
    way.lines.sort((a, b) => a.at - b.at);
    return {
      requestId: way.requestId,
      route: textOf(way, 'route') || 'unknown',
      workspace: textOf(way, 'workspace') || 'unknown',
      tokens: numberOf(lastOf(way, 'requestAccepted'), 'tokens') ?? 0,
      arrivedAt: way.lines[0]?.at ?? 0,
      ...judge(way, mostPause),
    };
  });
}
