/** For the `default` case of a switch: does not compile if a case of the union is missing. */
export function assertNever(value: never): never {
  throw new TypeError(`unexpected value: ${JSON.stringify(value)}`);
}
