/** An unexpected error as logs and standard error have it: with its stack, if there is one. */
export function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
