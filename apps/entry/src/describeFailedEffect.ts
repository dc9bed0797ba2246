/** Describes an effect that could not be performed, for the log. */
import type { EntryEffect } from '@hornbeampond/entry-core';
import { describeError } from '@hornbeampond/runtime';
import type { LogFields } from '@hornbeampond/schema';

export function describeFailedEffect(effect: EntryEffect, error: unknown): LogFields {
  return {
    effect: effect.type,
    ...('requestId' in effect ? { requestId: effect.requestId } : {}),
    ...('attemptId' in effect ? { attemptId: effect.attemptId } : {}),
    ...('target' in effect ? { backendServer: effect.target.instance } : {}),
    reason: describeError(error),
  };
}
