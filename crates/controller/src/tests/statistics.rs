use crate::statistics::LatencyHistogram;

#[test]
fn histogram_keeps_the_geometric_mean() {
    let mut times = LatencyHistogram::default();
    times.add(0.1, 3.0);
    assert!((times.mean() - 0.1).abs() < 1e-4);
}
