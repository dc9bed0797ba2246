/** Ends a switch over a string union: the compiler proves that no case is missing. */
export function assertNever(value: never): never {
  throw new TypeError(`unexpected value: ${JSON.stringify(value)}`);
}
