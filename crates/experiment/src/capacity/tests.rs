use super::replace_between_markers;

#[test]
fn text_between_markers_is_replaced_and_the_rest_kept() {
    let page = "prose\n<!-- begin: a -->\nold\n<!-- end: a -->\nmore\n";
    let replaced = replace_between_markers(page, "a", "new\n").expect("the page has both markers");
    assert_eq!(
        replaced,
        "prose\n<!-- begin: a -->\nnew\n<!-- end: a -->\nmore\n"
    );
    assert_eq!(
        replace_between_markers(&replaced, "a", "new\n").expect("the markers are kept"),
        replaced
    );
}

#[test]
fn missing_marker_is_an_error() {
    assert!(replace_between_markers("prose", "a", "new").is_err());
}

#[test]
fn page_has_every_marker() {
    let page = include_str!("../../../../docs/CAPACITY.md");
    for name in ["sizes", "slopes", "roles", "events"] {
        replace_between_markers(page, name, "").expect("the page has the marker");
    }
}
