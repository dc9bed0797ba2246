/** Says in plain words what a check found wrong with one value. */
import type { z } from 'zod';

/** The reason of one issue; a value that is not there is called missing. */
export function describeIssue(issue: z.core.$ZodIssue): string {
  const isMissing = issue.code === 'invalid_type' && issue.message.endsWith('received undefined');
  return isMissing ? 'is missing' : issue.message;
}
