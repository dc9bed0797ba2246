/** Formats a zod validation issue for the `reason` of a `Fault`. */
import type { z } from 'zod';

/** Returns the issue's message, or `is missing` for a value that is absent. */
export function describeIssue(issue: z.core.$ZodIssue): string {
  const isMissing = issue.code === 'invalid_type' && issue.message.endsWith('received undefined');
  return isMissing ? 'is missing' : issue.message;
}
