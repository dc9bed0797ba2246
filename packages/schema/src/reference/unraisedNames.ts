/**
 * Names of the catalogues that no code raises yet. The pages say so, and a test compares the list
 * with the sources, so that an operator does not wait for an event that cannot come.
 */
export const unraisedNames: readonly string[] = [
  'duplicate',
  'logDamaged',
  'prefixMiss',
  'sourceLost',
  'streamStalled',
];

const explanations: Readonly<Record<string, string>> = {
  duplicate: 'a late answer that is a duplicate is counted as `attemptGivenUp`',
  logDamaged: 'a store that finds its log damaged prints the fault to standard error and exits 1',
  prefixMiss: 'tokens that are computed again because a prefix was evicted are not known here',
  sourceLost: 'a move whose source is lost is dropped and its stream resumed; it is not counted',
  streamStalled: 'a stalled stream is counted as `connectionSilent`',
};

/** The part of the list that concerns one catalogue, as Markdown. */
export function describeUnraisedNames(names: readonly string[]): string {
  return unraisedNames
    .filter((name) => names.includes(name))
    .map((name) => `- \`${name}\`: ${explanations[name] ?? 'not raised'}.`)
    .join('\n');
}
