/**
 * Divides a capacity among demands by max-min fairness (water-filling): nobody receives more than
 * its demand, and whoever receives less than its demand receives at least as much as any other.
 */
export function fillMaxMin(demands: readonly number[], capacity: number): number[] {
  const shares = demands.map(() => 0);
  const smallestFirst = demands
    .map((demand, position) => ({ demand, position }))
    .sort((a, b) => a.demand - b.demand);
  let left = Math.max(0, capacity);
  smallestFirst.forEach(({ demand, position }, rank) => {
    const share = Math.min(demand, left / (smallestFirst.length - rank));
    shares[position] = share;
    left -= share;
  });
  return shares;
}
