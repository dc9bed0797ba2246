/**
 * True for a status that ends a response (RFC 9110, section 15). Parsers let any three digits pass, and an
 * answer with another status cannot be passed on to a caller.
 */
export function isFinalStatus(status: number): boolean {
  return status >= 200 && status < 600;
}
