/**
 * Fits a straight line to measured points by least squares.
 */
export interface FittedLine {
  readonly slope: number;
  readonly intercept: number;
}

export function fitLine(
  points: readonly (readonly [number, number])[],
): FittedLine {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce(
    (sum, [x, y]) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}
