/**
 * Names in the catalogues of errors, log events and metrics that no code uses yet. The reference
 * pages list them, so that operators do not wait for an event that cannot occur. A test compares the
 * list with the sources.
 */
export const unusedNames: readonly string[] = [
  'duplicate',
  'logDamaged',
  'prefixMiss',
  'sourceLost',
  'streamStalled',
];

const explanations: Readonly<Record<string, string>> = {
  duplicate: 'a duplicate late answer is counted as `attemptGivenUp`',
  logDamaged: 'a store with a damaged log prints the error to standard error and exits with code 1',
  prefixMiss: 'the system cannot tell which tokens are recomputed because a prefix was evicted',
  sourceLost:
    'a move whose source is lost is dropped without being counted, and its stream is resumed',
  streamStalled: 'a stalled stream is counted as `connectionSilent`',
};

/** Returns a Markdown list of those of the given names that no code uses. */
export function describeUnusedNames(names: readonly string[]): string {
  return unusedNames
    .filter((name) => names.includes(name))
    .map((name) => `- \`${name}\`: ${explanations[name] ?? 'not used'}.`)
    .join('\n');
}
