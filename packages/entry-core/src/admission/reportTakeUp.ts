/** Logs and counts how it was decided on a request for the rest of a stream, and refuses one. */
import type { LogFields, Route } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { CallerRequest } from '../entryEvents.js';
import { refuseRequest } from '../requests/endRequest.js';
import {
  UNKNOWN_ORIGIN_RETRY_AFTER_MILLISECONDS,
  type OriginResolution,
} from '../streamVersions/resolveOrigin.js';

/** What a log line says of a request that takes a stream up. */
export function describeResumption({ resumption }: CallerRequest): LogFields {
  if (resumption === undefined) return {};
  return { resumes: resumption.firstRequestId ?? '', afterEvent: resumption.afterEvent };
}

export function refuseContinuation(
  request: CallerRequest,
  route: Route,
  { detail, facts: known }: Extract<OriginResolution, { type: 'refused' }>,
): EntryEffect[] {
  const retryAfterMilliseconds = UNKNOWN_ORIGIN_RETRY_AFTER_MILLISECONDS;
  const problem = { ran: 'no', retryAfterMilliseconds } as const;
  const facts = { route: route.name, ...describeResumption(request), ...known };
  return [
    { type: 'count', metric: 'streamsTakenUp', label: 'unknown' },
    ...refuseRequest(request, 'versionUnavailable', detail, problem, facts),
  ];
}

/** Reports by what knowledge a stream goes on, and how old that is. */
export function reportTakeUp(
  { requestId, resumption }: CallerRequest,
  resolution: OriginResolution,
): EntryEffect[] {
  if (resolution.type !== 'known' && resolution.type !== 'onlyVersion') return [];
  const { type: origin, facts } = resolution;
  const fields = { requestId, resumes: resumption?.firstRequestId ?? '', origin, ...facts };
  return [
    { type: 'count', metric: 'streamsTakenUp', label: origin },
    { type: 'log', event: 'streamTakenUp', fields },
  ];
}
